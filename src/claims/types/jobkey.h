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

/// The first half of the SHA-256 digest of a job's body. Comparing it tells a
/// resubmission of a job from another job that reuses the key.
using BodyDigest = std::array<uint8_t, 16>;

/// Identifies a range of job keys. The issuer gives a prefix to one caller,
/// which appends numbers of its own choice.
struct Prefix {
  std::string Team;
  std::string DataCentre;
  /// The VM incarnation that grants the keys of this prefix; always the first
  /// member.
  VmId Issuer;
  /// The VMs that record the grants of this prefix: one to three, the issuer
  /// included.
  std::vector<VmId> Members;
  /// Number of this prefix among those of the same issuer incarnation, from 1.
  uint64_t Sequence = 0;

  bool operator==(const Prefix &) const = default;
  /// Compares the fields that usually differ first, since keys are looked up
  /// often.
  std::strong_ordering operator<=>(const Prefix &Other) const {
    return std::tie(Sequence, Issuer, Team, DataCentre, Members) <=>
           std::tie(Other.Sequence, Other.Issuer, Other.Team, Other.DataCentre,
                    Other.Members);
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Team, DataCentre, Issuer, Members, Sequence);
  }
};

/// Identifies one submission of a job; resubmissions use the same key.
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
