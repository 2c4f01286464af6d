#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONREADER_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONREADER_H

#include "configuration/internal/jsonnode.h"
#include "configuration/internal/textlocator.h"
#include "framework/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// The range of valid values of a number, including both bounds.
struct NumberRange {
  double Low = 0;
  double High = 0;
  /// For example "ms" or "bytes"; empty for plain counts.
  std::string_view Unit;
};

/// Reads typed values from a JSON tree and records the first error. After an
/// error the functions return default values, so callers need to check for
/// errors only once, at the end. \c Path identifies a value in messages, for
/// example "limits.max_tasks".
class JsonReader {
public:
  JsonReader(std::string_view Text, std::string FileName);

  /// Records an error at \p Node unless one is recorded already.
  void fail(ErrorKind Kind, const JsonNode &Node, const std::string &Message,
            std::string Remedy);
  const std::optional<Error> &failure() const { return Failure; }
  /// Returns the location of \p Node as "FILE:LINE:COLUMN".
  std::string location(const JsonNode &Node);

  /// Checks that \p Node is an object without keys other than \p KnownKeys.
  bool checkObject(const JsonNode &Node, const std::string &Path,
                   const std::vector<std::string> &KnownKeys);
  /// Checks that \p Node has the type \p Type, which messages call \p TypeName.
  bool checkType(const JsonNode &Node, const std::string &Path,
                 JsonNode::Kind Type, const std::string &TypeName);
  /// Returns the member \p Key of \p Object, or null with the error MissingKey.
  const JsonNode *requireMember(const JsonNode &Object, const std::string &Path,
                                const std::string &Key);

  bool readBoolean(const JsonNode &Node, const std::string &Path);
  /// Reads a string of 1 to 4,096 bytes.
  std::string readString(const JsonNode &Node, const std::string &Path);
  /// Reads a name of 1 to 63 lower-case letters, digits, '-', '_' and '.'.
  std::string readName(const JsonNode &Node, const std::string &Path);
  double readNumber(const JsonNode &Node, const std::string &Path,
                    const NumberRange &Range);
  uint64_t readInteger(const JsonNode &Node, const std::string &Path,
                       const NumberRange &Range);
  /// Reads milliseconds, which may have a fraction.
  Duration readMilliseconds(const JsonNode &Node, const std::string &Path,
                            const NumberRange &Range);
  /// Checks \p Name as readName() does.
  bool checkName(const JsonNode &Node, const std::string &Name,
                 const std::string &Path);

private:
  TextLocator Locator;
  std::optional<Error> Failure;
};

/// Returns \p Path with \p Key appended after a dot.
std::string joinPath(const std::string &Path, const std::string &Key);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONREADER_H
