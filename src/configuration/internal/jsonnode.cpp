#include "configuration/internal/jsonnode.h"

#include "configuration/internal/jsonbuilder.h"

#include <algorithm>

namespace sapphiremoor {

const JsonNode *JsonNode::find(std::string_view Name) const {
  const auto It = std::ranges::find(Items, Name, &JsonNode::Key);
  return It == Items.end() ? nullptr : &*It;
}

Result<JsonNode> parseJson(std::string_view Text, const std::string &FileName) {
  JsonBuilder Builder(Text, FileName);
  return Builder.build();
}

} // namespace sapphiremoor
