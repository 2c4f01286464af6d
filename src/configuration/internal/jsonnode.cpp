#include "configuration/internal/jsonnode.h"

#include "configuration/internal/jsonbuilder.h"

#include <algorithm>

namespace sapphiremoor {

const JsonNode *JsonNode::find(std::string_view Name) const {
  const auto Found = std::ranges::find(Items, Name, &JsonNode::Key);
  return Found == Items.end() ? nullptr : &*Found;
}

Result<JsonNode> parseJson(std::string_view Text, const std::string &FileName) {
  JsonBuilder Builder(Text, FileName);
  return Builder.build();
}

} // namespace sapphiremoor
