#include "configuration/internal/shown.h"

#include <algorithm>
#include <cstddef>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxShownBytes = 160;

} // namespace

std::string shown(std::string_view Text) {
  std::string Shown(Text.substr(0, MaxShownBytes));
  std::ranges::replace_if(
      Shown, [](char C) { return C < ' ' || C > '~'; }, '?');
  if (Text.size() > MaxShownBytes)
    Shown += "...";
  return Shown;
}

bool isPrintable(std::string_view Text) {
  return std::ranges::all_of(Text, [](char C) { return C > ' ' && C <= '~'; });
}

} // namespace sapphiremoor
