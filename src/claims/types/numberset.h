#ifndef SAPPHIREMOOR_CLAIMS_TYPES_NUMBERSET_H
#define SAPPHIREMOOR_CLAIMS_TYPES_NUMBERSET_H

#include <cstddef>
#include <cstdint>
#include <map>

namespace sapphiremoor {

/// A set of numbers that stores consecutive numbers as one range.
class NumberSet {
public:
  void insert(uint64_t Number);
  bool contains(uint64_t Number) const;
  /// Number of stored ranges, which bounds the memory used.
  std::size_t rangeCount() const { return Ranges.size(); }

private:
  /// Maps the first number of each range to its last number.
  std::map<uint64_t, uint64_t> Ranges;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_NUMBERSET_H
