#ifndef SAPPHIREMOOR_REPLICATION_TYPES_LOGENTRY_H
#define SAPPHIREMOOR_REPLICATION_TYPES_LOGENTRY_H

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace sapphiremoor {

/// Name of a replica and identity of its data folder. A wiped VM has the same
/// name but another identity, so it counts as another voter.
struct Voter {
  std::string Name;
  uint64_t Identity = 0;

  // Written out, since clang-tidy 16 reports a variable inside the defaulted
  // form.
  std::strong_ordering operator<=>(const Voter &Other) const {
    return std::tie(Name, Identity) <=> std::tie(Other.Name, Other.Identity);
  }
  bool operator==(const Voter &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Name, Identity);
  }
};

/// What a log entry carries.
enum class EntryKind : uint8_t {
  /// The bytes of a proposal.
  Command,
  /// A new set of voters, which applies as soon as it is in the log.
  Voters,
  /// Nothing: the first entry of a leader's term.
  TermStart,
};

/// One entry of the replicated log.
struct LogEntry {
  uint64_t Term = 0;
  EntryKind Kind = EntryKind::Command;
  std::string Bytes;
  std::vector<Voter> Voters;

  auto operator<=>(const LogEntry &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Term, Kind, Bytes, Voters);
  }
};

/// The state after the entry \p Index. It replaces all entries up to that
/// index.
struct ReplicaSnapshot {
  uint64_t Index = 0;
  uint64_t Term = 0;
  std::vector<Voter> Voters;
  std::string Bytes;

  auto operator<=>(const ReplicaSnapshot &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Index, Term, Voters, Bytes);
  }
};

/// What a replica stores besides its entries. The commit index is stored so
/// that a VM that restarts in a minority does not return to an older
/// configuration.
struct HardState {
  uint64_t Term = 0;
  /// Identity that this replica voted for in this term; 0 means none.
  uint64_t VotedFor = 0;
  uint64_t CommitIndex = 0;

  auto operator<=>(const HardState &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Term, VotedFor, CommitIndex);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_TYPES_LOGENTRY_H
