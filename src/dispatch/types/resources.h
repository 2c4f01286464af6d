#ifndef SAPPHIREMOOR_DISPATCH_TYPES_RESOURCES_H
#define SAPPHIREMOOR_DISPATCH_TYPES_RESOURCES_H

#include <compare>
#include <cstdint>

namespace sapphiremoor {

/// Resources that a task needs or a backend server has.
struct Resources {
  /// Thousandths of a processor core.
  int64_t MilliCores = 0;
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;

  auto operator<=>(const Resources &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(MilliCores, MemoryMb, Accelerators);
  }
};

inline Resources operator+(const Resources &A, const Resources &B) {
  return {A.MilliCores + B.MilliCores, A.MemoryMb + B.MemoryMb,
          A.Accelerators + B.Accelerators};
}

inline Resources operator-(const Resources &A, const Resources &B) {
  return {A.MilliCores - B.MilliCores, A.MemoryMb - B.MemoryMb,
          A.Accelerators - B.Accelerators};
}

/// Returns true if \p Demand does not exceed \p Available in any kind of
/// resource.
inline bool fits(const Resources &Demand, const Resources &Available) {
  return Demand.MilliCores <= Available.MilliCores &&
         Demand.MemoryMb <= Available.MemoryMb &&
         Demand.Accelerators <= Available.Accelerators;
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_RESOURCES_H
