#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H

#include "placement/types/indexset.h"

#include <array>
#include <cstdint>
#include <optional>

namespace sapphiremoor {

/// Backend servers of one service by free slots. Neighbouring positions lie in
/// different racks, so that a rotating cursor spreads starts over the racks.
class SlotIndex {
public:
  /// Free slots are compared up to this number.
  static constexpr uint32_t MaxLevel = 63;

  void insert(uint32_t Position, uint32_t Level);
  void erase(uint32_t Position, uint32_t Level);
  bool empty() const { return NonEmptyLevels == 0; }

  /// Returns the position with the most free slots next after the cursor,
  /// other than \p Excluded, or nothing.
  std::optional<uint32_t> pick(uint32_t Excluded) const;

  /// Moves the cursor behind \p Position.
  void advance(uint32_t Position) { Cursor = Position + 1; }

private:
  std::array<IndexSet, MaxLevel + 1> Levels;
  uint64_t NonEmptyLevels = 0;
  uint32_t Cursor = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H
