#include "placement/types/indexset.h"

#include <bit>

namespace sapphiremoor {

namespace {

constexpr uint32_t WordBits = 64;

uint64_t bitMask(uint32_t Index) { return uint64_t{1} << (Index % WordBits); }

uint32_t lowestBit(uint64_t Word) {
  return static_cast<uint32_t>(std::countr_zero(Word));
}

} // namespace

void IndexSet::insert(uint32_t Index) {
  for (std::size_t Level = 0;; ++Level) {
    if (Level == Levels.size()) {
      // A new top level must summarise the words that exist already.
      Levels.emplace_back(1, 0);
      if (Level > 0 && !Levels[Level - 1].empty() && Levels[Level - 1][0] != 0)
        Levels[Level][0] = 1;
    }
    std::vector<uint64_t> &Words = Levels[Level];
    const uint32_t Word = Index / WordBits;
    if (Word >= Words.size())
      Words.resize(Word + 1, 0);
    Words[Word] |= bitMask(Index);
    if (Words.size() == 1 && Level + 1 == Levels.size())
      return;
    Index = Word;
  }
}

void IndexSet::erase(uint32_t Index) {
  for (std::vector<uint64_t> &Words : Levels) {
    const uint32_t Word = Index / WordBits;
    if (Word >= Words.size())
      return;
    Words[Word] &= ~bitMask(Index);
    if (Words[Word] != 0)
      return;
    Index = Word;
  }
}

bool IndexSet::empty() const { return Levels.empty() || Levels.back()[0] == 0; }

std::optional<uint32_t> IndexSet::lowerBound(uint32_t Minimum) const {
  for (std::size_t Level = 0; Level < Levels.size(); ++Level) {
    const uint32_t Word = Minimum / WordBits;
    if (Word >= Levels[Level].size())
      return std::nullopt;
    const uint64_t Bits =
        Levels[Level][Word] & (~uint64_t{0} << (Minimum % WordBits));
    if (Bits == 0) {
      Minimum = Word + 1;
      continue;
    }
    uint32_t Index = Word * WordBits + lowestBit(Bits);
    while (Level-- > 0)
      Index = Index * WordBits + lowestBit(Levels[Level][Index]);
    return Index;
  }
  return std::nullopt;
}

std::optional<uint32_t> IndexSet::findNext(uint32_t Minimum) const {
  const std::optional<uint32_t> Next = lowerBound(Minimum);
  return Next ? Next : lowerBound(0);
}

} // namespace sapphiremoor
