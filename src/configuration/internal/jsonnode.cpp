#include "configuration/internal/jsonnode.h"

#include "configuration/internal/jsonbuilder.h"

#include <algorithm>

namespace sapphiremoor {

const JsonNode *JsonNode::find(std::string_view Name) const {
  const auto Found = std::ranges::find(Items, Name, &JsonNode::Key);
  return Found == Items.end() ? nullptr : &*Found;
}

std::string placeOf(std::string_view Text, const std::string &FileName,
                    std::size_t Offset) {
  const std::string_view Before = Text.substr(0, Offset);
  const auto Line = std::ranges::count(Before, '\n') + 1;
  const std::size_t LineStart = Before.rfind('\n') + 1;
  const auto Column =
      std::ranges::count_if(Before.substr(LineStart), [](char Byte) {
        return (static_cast<unsigned char>(Byte) & 0xC0U) != 0x80U;
      });
  return FileName + ":" + std::to_string(Line) + ":" +
         std::to_string(Column + 1);
}

Result<JsonNode> parseJson(std::string_view Text, const std::string &FileName) {
  JsonBuilder Builder(Text, FileName);
  return Builder.build();
}

} // namespace sapphiremoor
