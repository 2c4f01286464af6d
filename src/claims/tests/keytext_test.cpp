#include "claims/keytext.h"
#include "claims/types/numberset.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <set>

using namespace sapphiremoor;

namespace {

// rapidcheck reads its seed from the environment. A seed that is already set
// there is kept.
const int SeedSet = setenv("RC_PARAMS", "seed=1", 0);

const std::string Secret = "0123456789abcdef";

Prefix examplePrefix() {
  return {
      "prices",
      "trencin",
      {"entry-trencin-1", 1},
      {{"entry-trencin-1", 1}, {"entry-trencin-2", ~0U}, {"entry-nitra", 3}},
      70000};
}

} // namespace

// Guards against a field that is lost or misread.
TEST_CASE("every key is parsed as it was formatted and stays short") {
  const JobKey Key{examplePrefix(), ~uint64_t{0}};
  CHECK(formatKey(Key, Secret).size() < 200);
  const bool Passed = rc::check([](std::string Team, std::string Name,
                                   uint64_t Incarnation, uint64_t Sequence,
                                   uint64_t Number) {
    Team.resize(std::min<std::size_t>(Team.size(), 255));
    Name.resize(std::min<std::size_t>(Name.size(), 255));
    const VmId Vm{Name, Incarnation};
    const JobKey RandomKey{{Team, "dc", Vm, {Vm, {"b", 2}}, Sequence}, Number};
    RC_ASSERT(valueOf(parseKey(formatKey(RandomKey, Secret), Secret)) ==
              RandomKey);
  });
  CHECK(Passed);
}

// Guards against a caller that forges a prefix or uses one of another team.
TEST_CASE("a changed or truncated prefix is refused, as is a foreign one") {
  const std::string Text = formatKey({examplePrefix(), 17}, Secret);
  const std::size_t Dot = Text.find('.');
  for (std::size_t I = 0; I < Dot; ++I) {
    std::string ChangedText = Text;
    ChangedText[I] = ChangedText[I] == 'A' ? 'B' : 'A';
    CHECK(errorOf(parseKey(ChangedText, Secret)).Kind == ErrorKind::BadKey);
    const std::string Truncated = Text.substr(0, I) + Text.substr(Dot);
    CHECK(isError(parseKey(Truncated, Secret)));
  }
  CHECK(errorOf(parseKey(Text, Secret + "x")).Kind == ErrorKind::BadKey);
}

// Guards against two texts for one key and against errors without a remedy.
TEST_CASE("errors about missing keys and malformed numbers name the remedy") {
  const std::string Text = formatPrefix(examplePrefix(), Secret);
  for (const char *Number : {"", ".", ".01", ".+1", ".-1", ". 1", ".1 ", ".1.",
                             ".0x1", ".18446744073709551616"}) {
    const Error Err = errorOf(parseKey(Text + Number, Secret));
    CHECK(Err.Kind == ErrorKind::BadKey);
    CHECK(Err.Remedy.find("POST /v1/prefixes") != std::string::npos);
  }
  for (const char *MissingPrefix : {"", ".1"}) {
    const Error Err = errorOf(parseKey(MissingPrefix, Secret));
    CHECK(Err.Kind == ErrorKind::MissingKey);
    CHECK(Err.Remedy.find("POST /v1/prefixes") != std::string::npos);
  }
}

// Guards against ranges that include or lose a wrong number or are never
// joined.
TEST_CASE("a number set equals a plain set and joins adjacent ranges") {
  const bool Passed = rc::check([](const std::vector<uint8_t> &Numbers) {
    NumberSet Set;
    std::set<uint64_t> PlainSet;
    for (const uint8_t Number : Numbers) {
      Set.insert(Number % 64);
      PlainSet.insert(Number % 64);
    }
    std::size_t Ranges = 0;
    for (uint64_t I = 0; I < 64; ++I) {
      RC_ASSERT(Set.contains(I) == PlainSet.contains(I));
      Ranges += PlainSet.contains(I) && (I == 0 || !PlainSet.contains(I - 1));
    }
    RC_ASSERT(Set.rangeCount() == Ranges);
  });
  CHECK(Passed);
  NumberSet Extremes;
  Extremes.insert(~uint64_t{0});
  Extremes.insert(0);
  CHECK(Extremes.rangeCount() == 2);
}
