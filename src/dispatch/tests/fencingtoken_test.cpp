#include "dispatch/fencingtoken.h"

#include <doctest/doctest.h>

#include <set>

using namespace sapphiremoor;

namespace {

constexpr std::chrono::sys_days startOfYear(int Year) {
  return std::chrono::year_month_day(std::chrono::year(Year),
                                     std::chrono::January, std::chrono::day(1));
}

} // namespace

// Guards against a later owner that a backend server takes for an earlier one.
TEST_CASE("a token with a higher term is higher whoever issues it") {
  const uint64_t Low = makeFencingToken({0xfffff, 15}, 1000);
  const uint64_t High = makeFencingToken({0, 0}, 1001);
  CHECK(High > Low);
  CHECK(fencingTerm(High) == 1001);
}

// Guards against two processes with one token.
TEST_CASE("lives and owners of one term have different tokens") {
  std::set<uint64_t> Tokens;
  for (uint32_t Owner = 0; Owner < 100; ++Owner)
    for (uint32_t Life = 0; Life < 16; ++Life)
      Tokens.insert(makeFencingToken({Owner, Life}, 1000));
  CHECK(Tokens.size() == 1600);
}

// Guards against tokens that a JSON number rounds to the same value, and
// against a term that falls when the time of day is wrong by years.
TEST_CASE("tokens are exact as JSON numbers") {
  const uint64_t LastTerm = fencingTermAt(startOfYear(2042));
  CHECK(makeFencingToken({0xfffff, 15}, LastTerm) < uint64_t{1} << 53);
  CHECK(fencingTermAt(startOfYear(1970)) == 0);
  CHECK(fencingTermAt(startOfYear(2027)) > fencingTermAt(startOfYear(2026)));
}

// Guards against control VMs with one owner tag: in a network with one port,
// and on one address with many ports.
TEST_CASE("owner tags differ within a network and on one address") {
  std::set<uint32_t> Tags;
  for (int DataCentre = 0; DataCentre < 64; ++DataCentre)
    for (int Number = 0; Number < 256; ++Number)
      Tags.insert(ownerTag(
          {"10." + std::to_string(DataCentre) + ".0." + std::to_string(Number),
           9000}));
  CHECK(Tags.size() == 64 * 256);
  Tags.clear();
  for (int Port = 1; Port < 65536; ++Port)
    Tags.insert(ownerTag({"127.0.0.1", static_cast<uint16_t>(Port)}));
  CHECK(Tags.size() == 65535);
}

// Guards against two VMs that both use an owner tag, and against two that both
// give it up, where the tags of two addresses are the same.
TEST_CASE("one of two VMs with one owner tag may keep it") {
  const Endpoint First{"10.0.0.1", 0x0001};
  const Endpoint Second{"10.8.0.1", 0x0000};
  REQUIRE(ownerTag(First) == ownerTag(Second));
  CHECK(takesOwnerTag(First, Second));
  CHECK_FALSE(takesOwnerTag(Second, First));
  CHECK_FALSE(takesOwnerTag(First, First));
  CHECK_FALSE(takesOwnerTag({"10.0.0.1", 2}, Second));
}
