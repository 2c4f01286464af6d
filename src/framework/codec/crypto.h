#ifndef SAPPHIREMOOR_FRAMEWORK_CODEC_CRYPTO_H
#define SAPPHIREMOOR_FRAMEWORK_CODEC_CRYPTO_H

#include "framework/core/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// A SHA-256 digest or an HMAC-SHA256 value.
using Digest = std::array<uint8_t, 32>;

/// Returns the SHA-256 digest of \p Data.
Digest sha256(std::string_view Data);

/// Returns the HMAC-SHA256 of \p Data under \p Secret.
Digest hmacSha256(std::string_view Secret, std::string_view Data);

/// Compares \p A and \p B in a time that does not depend on their content.
bool equalConstantTime(std::string_view A, std::string_view B);

/// Reads a secret from a file. Fails if the file is missing, shorter than
/// 16 bytes, or accessible by group or others.
Result<std::string> readSecretFile(const std::string &Path);

/// Encodes \p Data in the URL-safe base64 alphabet without padding.
std::string base64UrlEncode(std::string_view Data);

/// Decodes URL-safe base64 without padding; BadRequest for other characters.
Result<std::string> base64UrlDecode(std::string_view Text);

/// Returns \p Value as bytes in a string view.
inline std::string_view digestBytes(const Digest &Value) {
  return {reinterpret_cast<const char *>(Value.data()), Value.size()};
}

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CODEC_CRYPTO_H
