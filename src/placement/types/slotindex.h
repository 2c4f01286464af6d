#ifndef SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H
#define SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H

#include "placement/types/indexset.h"

#include <array>
#include <cstdint>
#include <optional>

namespace sapphiremoor {

/// Indexes the backend servers of one service by their free slots. Neighbouring
/// positions lie in different racks, so that a rotating cursor spreads starts
/// over the racks.
class SlotIndex {
public:
  /// Backend servers with more free slots than this share the top level.
  static constexpr uint32_t MaxLevel = 63;

  void insert(uint32_t Position, uint32_t Level);
  void erase(uint32_t Position, uint32_t Level);
  bool empty() const { return NonEmptyLevels == 0; }

  /// Returns the next position after the cursor among those with the most free
  /// slots, or nothing if there is none. \p Excluded is never returned.
  std::optional<uint32_t> pick(uint32_t Excluded) const;

  /// Moves the cursor past \p Position.
  void advance(uint32_t Position) { Cursor = Position + 1; }

private:
  std::array<IndexSet, MaxLevel + 1> Levels;
  uint64_t NonEmptyLevels = 0;
  uint32_t Cursor = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_PLACEMENT_TYPES_SLOTINDEX_H
