#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_BALLOT_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_BALLOT_H

#include <compare>
#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Identifies a round and orders the rounds of all proposers. The default value
/// is below all rounds.
struct Ballot {
  uint64_t Round = 0;
  /// Name of the proposing process, not of its VM: the next process of the VM
  /// may count from the same round.
  std::string Proposer;

  auto operator<=>(const Ballot &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Round, Proposer);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_BALLOT_H
