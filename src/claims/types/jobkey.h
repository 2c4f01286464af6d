#ifndef SAPPHIREMOOR_CLAIMS_TYPES_JOBKEY_H
#define SAPPHIREMOOR_CLAIMS_TYPES_JOBKEY_H

#include "framework/codec/serial.h"
#include "framework/core/types/vmid.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace sapphiremoor {

/// The first half of the SHA-256 digest of a job's body. It tells a
/// resubmission from a key that was reused for another job.
using BodyDigest = std::array<uint8_t, 16>;

/// What an issuer gives a caller once; the caller appends its own numbers.
struct Prefix {
  std::string Team;
  std::string DataCentre;
  /// The VM that grants the keys of this prefix; always the first member.
  VmId Issuer;
  /// The VMs that hold its grants: one to three, the issuer included.
  std::vector<VmId> Members;
  /// Counts the prefixes of one issuer incarnation, from 1.
  uint64_t Sequence = 0;

  bool operator==(const Prefix &) const = default;
  /// Compares first what usually differs, since keys are looked up often.
  std::strong_ordering operator<=>(const Prefix &Other) const {
    return std::tie(Sequence, Issuer, Team, DataCentre, Members) <=>
           std::tie(Other.Sequence, Other.Issuer, Other.Team, Other.DataCentre,
                    Other.Members);
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Team, DataCentre, Issuer, Members, Sequence);
  }
};

/// The name of one submission.
struct JobKey {
  sapphiremoor::Prefix Prefix;
  uint64_t Number = 0;

  bool operator==(const JobKey &) const = default;
  std::strong_ordering operator<=>(const JobKey &Other) const {
    return std::tie(Number, Prefix) <=> std::tie(Other.Number, Other.Prefix);
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Prefix, Number);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_JOBKEY_H
