#include "framework/codec/crypto.h"

#include <openssl/evp.h>

#include <algorithm>
#include <vector>

namespace sapphiremoor {

std::string base64UrlEncode(std::string_view Data) {
  std::string Text(4 * ((Data.size() + 2) / 3) + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Data.data()),
                      static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Size));
  std::ranges::replace(Text, '+', '-');
  std::ranges::replace(Text, '/', '_');
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  return Text;
}

Result<std::string> base64UrlDecode(std::string_view Text) {
  const Error Malformed{ErrorKind::BadRequest,
                        "the value is not URL-safe base64",
                        "copy the value unchanged"};
  const auto Valid = [](char C) {
    return (C >= 'A' && C <= 'Z') || (C >= 'a' && C <= 'z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_';
  };
  if (!std::ranges::all_of(Text, Valid) || Text.size() % 4 == 1)
    return Malformed;
  std::string Padded(Text);
  std::ranges::replace(Padded, '-', '+');
  std::ranges::replace(Padded, '_', '/');
  const std::size_t Padding = (4 - Padded.size() % 4) % 4;
  Padded.append(Padding, '=');
  std::string Data(Padded.size() / 4 * 3 + 1, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Data.data()),
                      reinterpret_cast<const unsigned char *>(Padded.data()),
                      static_cast<int>(Padded.size()));
  if (Size < 0)
    return Malformed;
  Data.resize(static_cast<std::size_t>(Size) - Padding);
  // Unused low bits of the last character must be zero, so that each value has
  // exactly one encoding.
  if (base64UrlEncode(Data) != Text)
    return Malformed;
  return Data;
}

} // namespace sapphiremoor
