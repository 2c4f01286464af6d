#include "framework/codec/crypto.h"

#include <doctest/doctest.h>

#include <sys/stat.h>

#include <cstdio>
#include <fstream>

using namespace sapphiremoor;

TEST_CASE("base64url keeps data of every length and refuses other text") {
  std::string Data;
  for (int I = 0; I < 70; ++I) {
    const std::string Text = base64UrlEncode(Data);
    CHECK(valueOf(base64UrlDecode(Text)) == Data);
    Data += static_cast<char>(I * 37);
  }
  CHECK(isError(base64UrlDecode("ab+/")));
  CHECK(isError(base64UrlDecode("abcde")));
  // A second encoding of the same bytes would give one key two names.
  CHECK(isError(base64UrlDecode("AB")));
}

TEST_CASE("HMAC-SHA256 matches RFC 4231 test case 2") {
  const Digest Mac = hmacSha256("Jefe", "what do ya want for nothing?");
  CHECK(Mac[0] == 0x5b);
  CHECK(Mac[1] == 0xdc);
  CHECK(Mac[31] == 0x43);
}

TEST_CASE("a secret file that other users can read is refused") {
  const std::string Path = "crypto_test_secret";
  std::ofstream(Path) << "0123456789abcdef0123\n";
  chmod(Path.c_str(), 0644);
  CHECK(errorOf(readSecretFile(Path)).Kind == ErrorKind::Forbidden);
  chmod(Path.c_str(), 0600);
  CHECK(valueOf(readSecretFile(Path)) == "0123456789abcdef0123");
  std::remove(Path.c_str());
  CHECK(errorOf(readSecretFile(Path)).Kind == ErrorKind::NotFound);
}
