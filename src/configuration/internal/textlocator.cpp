#include "configuration/internal/textlocator.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

TextLocator::TextLocator(std::string_view Text, std::string FileName)
    : Text(Text), FileName(std::move(FileName)) {}

std::string TextLocator::locate(std::size_t Offset) {
  const std::size_t End = std::min(Offset, Text.size());
  if (End < Position) {
    Position = 0;
    Line = 1;
    Column = 1;
  }
  for (; Position < End; ++Position)
    advance(Text[Position]);
  return FileName + ":" + std::to_string(Line) + ":" + std::to_string(Column);
}

void TextLocator::advance(char Byte) {
  const bool ContinuesCharacter =
      (static_cast<unsigned char>(Byte) & 0xC0U) == 0x80U;
  if (Byte == '\n') {
    ++Line;
    Column = 1;
  } else if (!ContinuesCharacter) {
    ++Column;
  }
}

} // namespace sapphiremoor
