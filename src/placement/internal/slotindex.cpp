#include "placement/types/slotindex.h"

#include <bit>

namespace sapphiremoor {

void SlotIndex::insert(uint32_t Position, uint32_t Level) {
  Levels[Level].insert(Position);
  NonEmpty |= uint64_t{1} << Level;
}

void SlotIndex::erase(uint32_t Position, uint32_t Level) {
  Levels[Level].erase(Position);
  if (Levels[Level].empty())
    NonEmpty &= ~(uint64_t{1} << Level);
}

std::optional<uint32_t> SlotIndex::pick(uint32_t Excluded) const {
  uint64_t Left = NonEmpty;
  while (Left != 0) {
    const auto Level = static_cast<uint32_t>(std::bit_width(Left)) - 1;
    std::optional<uint32_t> Found = Levels[Level].nextFrom(Cursor);
    if (Found == Excluded)
      Found = Levels[Level].nextFrom(Excluded + 1);
    if (Found && *Found != Excluded)
      return Found;
    Left &= ~(uint64_t{1} << Level);
  }
  return std::nullopt;
}

} // namespace sapphiremoor
