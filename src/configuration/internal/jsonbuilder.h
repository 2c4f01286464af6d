#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONBUILDER_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONBUILDER_H

#include "configuration/internal/jsonnode.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// A read-only stream buffer over a text that counts the bytes read.
class CountingBuffer : public std::streambuf {
public:
  explicit CountingBuffer(std::string_view Text) {
    char *Begin = const_cast<char *>(Text.data());
    setg(Begin, Begin, Begin + Text.size());
  }
  std::size_t consumedBytes() const {
    return static_cast<std::size_t>(gptr() - eback());
  }
};

/// Receives the events of nlohmann's SAX parser and builds a tree with
/// positions. The parser reports each token right after it has read it, so the
/// position of a token follows from the end of the previous one.
class JsonBuilder : public nlohmann::json_sax<nlohmann::json> {
public:
  JsonBuilder(std::string_view Text, std::string FileName);

  /// Parses the text; call once.
  Result<JsonNode> build();

  bool null() override;
  bool boolean(bool Value) override;
  bool number_integer(number_integer_t Value) override;
  bool number_unsigned(number_unsigned_t Value) override;
  bool number_float(number_float_t Value, const string_t &Lexeme) override;
  bool string(string_t &Value) override;
  bool binary(binary_t &Value) override;
  bool start_object(std::size_t Size) override;
  bool key(string_t &Value) override;
  bool end_object() override;
  bool start_array(std::size_t Size) override;
  bool end_array() override;
  bool parse_error(std::size_t Position, const std::string &LastToken,
                   const nlohmann::json::exception &Cause) override;

private:
  JsonNode &addNode(JsonNode::Kind Type);
  bool addNumber(double Value);
  bool openContainer(JsonNode::Kind Type);
  bool closeContainer();
  bool fail(ErrorKind Kind, std::size_t Offset, const std::string &Message,
            std::string Remedy);
  std::size_t nextTokenOffset() const;
  std::size_t skipComment(std::size_t Offset) const;

  std::string_view Text;
  std::string FileName;
  CountingBuffer Buffer;
  std::size_t PreviousTokenEnd = 0;
  JsonNode Root;
  /// The lists and objects that are not closed yet, outermost first.
  std::vector<JsonNode *> OpenContainers;
  std::string PendingKey;
  std::size_t PendingOffset = 0;
  std::optional<Error> Failure;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_JSONBUILDER_H
