#include "dispatch/fencingtoken.h"

#include <arpa/inet.h>

namespace sapphiremoor {

namespace {

constexpr int OwnerTagBits = 20;
constexpr int LifeBits = 4;
constexpr int BitsBelowTerm = OwnerTagBits + LifeBits;
constexpr int PortBits = 16;
constexpr int ByteBits = 8;

constexpr uint32_t lowBits(int Count) { return (1U << Count) - 1; }

constexpr std::chrono::seconds TermLength{1};

/// Time of day at which the terms start.
constexpr std::chrono::sys_days FirstTermStart = std::chrono::year_month_day(
    std::chrono::year(2025), std::chrono::January, std::chrono::day(1));

uint32_t reverseBits(uint32_t Value) {
  uint32_t Reversed = 0;
  for (int Bit = 0; Bit < PortBits; ++Bit)
    Reversed |= ((Value >> Bit) & 1U) << (PortBits - 1 - Bit);
  return Reversed;
}

} // namespace

uint64_t makeFencingToken(const TokenIssuer &Issuer, uint64_t Term) {
  const uint64_t Life = Issuer.Life & lowBits(LifeBits);
  const uint64_t Owner = Issuer.OwnerTag & lowBits(OwnerTagBits);
  return Term << BitsBelowTerm | Life << OwnerTagBits | Owner;
}

uint64_t fencingTerm(uint64_t Token) { return Token >> BitsBelowTerm; }

uint64_t fencingTermAt(std::chrono::system_clock::time_point TimeOfDay) {
  if (TimeOfDay < FirstTermStart)
    return 0;
  return static_cast<uint64_t>((TimeOfDay - FirstTermStart) / TermLength);
}

uint32_t ownerTag(const Endpoint &Address) {
  in_addr Parsed{};
  inet_pton(AF_INET, Address.Address.c_str(), &Parsed);
  const uint32_t Host = ntohl(Parsed.s_addr) & lowBits(3 * ByteBits);
  // The bits above a tag are added to the third byte, so that VMs of two data
  // centres whose addresses differ in the second byte only have different tags.
  // The reversed port changes the high bits first, and the addresses of one
  // data centre differ in the low bits, so the two do not cancel each other
  // out.
  const uint32_t Mixed = Host ^ Host >> OwnerTagBits << ByteBits ^
                         reverseBits(Address.Port) << (OwnerTagBits - PortBits);
  return Mixed & lowBits(OwnerTagBits);
}

bool takesOwnerTag(const Endpoint &Other, const Endpoint &Self) {
  return Other < Self && ownerTag(Other) == ownerTag(Self);
}

} // namespace sapphiremoor
