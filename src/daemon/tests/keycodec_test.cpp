#include "daemon/keycodec.h"

#include "claims/keytext.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {
constexpr const char *Secret = "0123456789abcdef";

Prefix makePrefix(uint64_t Sequence) {
  const VmId Issuer{"a1", 7};
  return {"counter", "nitra", Issuer, {Issuer}, Sequence};
}
} // namespace

TEST_CASE("a cached prefix gives the same key as a verified one") {
  KeyCodec Codec(Secret);
  const JobKey Key{makePrefix(1), 42};
  const std::string Text = formatKey(Key, Secret);
  CHECK(valueOf(Codec.parse(Text)) == Key);
  CHECK(valueOf(Codec.parse(Text)) == Key);
  CHECK(Codec.format(Key) == Text);
  CHECK(Codec.cachedPrefixes() == 1);
}

TEST_CASE("a cached prefix does not make another spelling of a key valid") {
  KeyCodec Codec(Secret);
  const std::string Prefix = Codec.format(makePrefix(1));
  REQUIRE_FALSE(isError(Codec.parse(Prefix + ".1")));
  for (const std::string Suffix :
       {".01", ".", ".+1", ".1x", ".18446744073709551616", ""})
    CHECK(isError(Codec.parse(Prefix + Suffix)));
  CHECK(isError(Codec.parse("x" + Prefix + ".1")));
  CHECK(isError(KeyCodec("another secret..").parse(Prefix + ".1")));
}

TEST_CASE("the number of cached prefixes is bounded") {
  KeyCodec Codec(Secret);
  for (uint64_t I = 1; I <= KeyCodec::MaxPrefixes + 10; ++I)
    Codec.format(makePrefix(I));
  CHECK(Codec.cachedPrefixes() <= KeyCodec::MaxPrefixes);
}
