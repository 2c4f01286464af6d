#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONNODE_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONNODE_H

#include "framework/core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// A JSON value with its position in the text. Error messages need the
/// position, and nlohmann's document type does not keep it.
struct JsonNode {
  enum class Kind { Null, Boolean, Number, String, List, Object };

  Kind Type = Kind::Null;
  /// Byte offset of the value, or of its key if it is a member of an object.
  std::size_t Offset = 0;
  /// Name of a member of an object, otherwise empty.
  std::string Key;
  bool Boolean = false;
  double Number = 0;
  std::string String;
  /// Elements of a list or members of an object, in the order of the text.
  std::vector<JsonNode> Items;

  /// Returns the member named \p Name, or null.
  const JsonNode *find(std::string_view Name) const;
};

/// Maximum nesting depth. Settings need less, and deeper trees would exhaust
/// the stack.
inline constexpr std::size_t MaxJsonDepth = 16;

/// Parses JSON with comments. Fails with BadJson for invalid JSON and with
/// Contradiction for a key that occurs twice in one object.
Result<JsonNode> parseJson(std::string_view Text, const std::string &FileName);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONNODE_H
