#include "framework/codec/crypto.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <sys/stat.h>

#include <fstream>
#include <iterator>

namespace sapphiremoor {

namespace {

constexpr std::size_t MinSecretBytes = 16;

const unsigned char *asBytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

} // namespace

Digest sha256(std::string_view Data) {
  Digest Value{};
  SHA256(asBytes(Data), Data.size(), Value.data());
  return Value;
}

Digest hmacSha256(std::string_view Secret, std::string_view Data) {
  Digest Value{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       asBytes(Data), Data.size(), Value.data(), &Size);
  return Value;
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

Result<std::string> readSecretFile(const std::string &Path) {
  struct stat Info {};
  if (stat(Path.c_str(), &Info) != 0)
    return Error{ErrorKind::NotFound, "cannot read the secret file " + Path,
                 "create it with at least 16 random bytes and mode 0600"};
  if ((Info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return Error{ErrorKind::Forbidden,
                 "the secret file " + Path + " is accessible to other users",
                 "run chmod 600 " + Path};
  std::ifstream File(Path, std::ios::binary);
  std::string Secret{std::istreambuf_iterator<char>(File), {}};
  while (!Secret.empty() && (Secret.back() == '\n' || Secret.back() == '\r'))
    Secret.pop_back();
  if (Secret.size() < MinSecretBytes)
    return Error{ErrorKind::OutOfRange,
                 "the secret in " + Path + " is shorter than 16 bytes",
                 "write at least 16 random characters into it"};
  return Secret;
}

} // namespace sapphiremoor
