#include "configuration/internal/printable.h"

#include <algorithm>
#include <cstddef>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxPrintableBytes = 160;

} // namespace

std::string toPrintable(std::string_view Text) {
  std::string Printable(Text.substr(0, MaxPrintableBytes));
  std::ranges::replace_if(
      Printable, [](char C) { return C < ' ' || C > '~'; }, '?');
  if (Text.size() > MaxPrintableBytes)
    Printable += "...";
  return Printable;
}

bool isPrintable(std::string_view Text) {
  return std::ranges::all_of(Text, [](char C) { return C > ' ' && C <= '~'; });
}

} // namespace sapphiremoor
