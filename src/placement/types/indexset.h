#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_INDEXSET_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_INDEXSET_H

#include <cstdint>
#include <optional>
#include <vector>

namespace sapphiremoor {

/// A set of small integers, stored as a tree of 64-bit words. All operations
/// take O(log64 n), so that 50 and 1,000 members cost the same.
class IndexSet {
public:
  void insert(uint32_t Index);
  void erase(uint32_t Index);
  bool empty() const;

  /// Returns the smallest member that is at least \p Minimum. If there is none,
  /// returns the smallest member, or nothing if the set is empty.
  std::optional<uint32_t> findNext(uint32_t Minimum) const;

private:
  std::optional<uint32_t> lowerBound(uint32_t Minimum) const;

  /// Levels[0] has one bit per number. Each further level has one bit per word
  /// of the level below.
  std::vector<std::vector<uint64_t>> Levels;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_INDEXSET_H
