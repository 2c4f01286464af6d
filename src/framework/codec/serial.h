#ifndef SAPPHIREMOOR_FRAMEWORK_CODEC_SERIAL_H
#define SAPPHIREMOOR_FRAMEWORK_CODEC_SERIAL_H

#include "framework/core/result.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace sapphiremoor {

namespace detail {

/// Reads from memory that the caller owns, without copying it.
class ViewBuffer : public std::streambuf {
public:
  explicit ViewBuffer(std::string_view Data) {
    char *Begin = const_cast<char *>(Data.data());
    setg(Begin, Begin, Begin + Data.size());
  }
  bool exhausted() const { return gptr() == egptr(); }
};

/// Appends to a string that the caller owns.
class AppendBuffer : public std::streambuf {
public:
  explicit AppendBuffer(std::string &Target) : Target(Target) {}

protected:
  int_type overflow(int_type Char) override {
    if (!traits_type::eq_int_type(Char, traits_type::eof()))
      Target.push_back(traits_type::to_char_type(Char));
    return traits_type::not_eof(Char);
  }
  std::streamsize xsputn(const char *Data, std::streamsize Count) override {
    Target.append(Data, static_cast<std::size_t>(Count));
    return Count;
  }

private:
  std::string &Target;
};

} // namespace detail

/// Encodes \p Value in cereal's portable binary form.
template <typename T> std::string encode(const T &Value) {
  std::string Bytes;
  detail::AppendBuffer Buffer(Bytes);
  std::ostream Stream(&Buffer);
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return Bytes;
}

/// Decodes a value that encode() wrote. Truncated, malformed or trailing bytes
/// give CorruptData. Decode only bytes whose origin has been authenticated:
/// a forged element count could otherwise allocate without limit.
template <typename T> Result<T> decode(std::string_view Bytes) {
  const Error Malformed{ErrorKind::CorruptData,
                        "the bytes do not decode to the expected type",
                        "check that all VMs run the same version"};
  try {
    detail::ViewBuffer Buffer(Bytes);
    std::istream Stream(&Buffer);
    cereal::PortableBinaryInputArchive Archive(Stream);
    T Value;
    Archive(Value);
    if (!Buffer.exhausted())
      return Malformed;
    return Value;
  } catch (const std::exception &) {
    return Malformed;
  }
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CODEC_SERIAL_H
