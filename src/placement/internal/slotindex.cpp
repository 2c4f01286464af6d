#include "placement/types/slotindex.h"

#include <bit>

namespace sapphiremoor {

void SlotIndex::insert(uint32_t Position, uint32_t Level) {
  Levels[Level].insert(Position);
  NonEmptyLevels |= uint64_t{1} << Level;
}

void SlotIndex::erase(uint32_t Position, uint32_t Level) {
  Levels[Level].erase(Position);
  if (Levels[Level].empty())
    NonEmptyLevels &= ~(uint64_t{1} << Level);
}

std::optional<uint32_t> SlotIndex::pick(uint32_t Excluded) const {
  uint64_t Remaining = NonEmptyLevels;
  while (Remaining != 0) {
    const auto Level = static_cast<uint32_t>(std::bit_width(Remaining)) - 1;
    std::optional<uint32_t> Candidate = Levels[Level].findNext(Cursor);
    if (Candidate == Excluded)
      Candidate = Levels[Level].findNext(Excluded + 1);
    if (Candidate && *Candidate != Excluded)
      return Candidate;
    Remaining &= ~(uint64_t{1} << Level);
  }
  return std::nullopt;
}

} // namespace sapphiremoor
