#ifndef SAPPHIREMOOR_REPLICATION_TYPES_REPLICATIONMESSAGE_H
#define SAPPHIREMOOR_REPLICATION_TYPES_REPLICATIONMESSAGE_H

#include "replication/types/logentry.h"

#include <cereal/types/variant.hpp>

#include <variant>

namespace sapphiremoor {

/// The start of each message. A replica ignores messages for another identity,
/// so a wiped voter never answers in place of the voter that it was.
struct MessageHeader {
  Voter From;
  /// 0 means any identity, which is allowed only in a JoinRequest.
  uint64_t ToIdentity = 0;
  uint64_t Term = 0;

  auto operator<=>(const MessageHeader &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(From, ToIdentity, Term);
  }
};

/// Asks whether a vote in \p NextTerm would be granted. Changes no state.
struct PreVoteRequest {
  MessageHeader Header;
  uint64_t NextTerm = 0;
  uint64_t LastIndex = 0;
  uint64_t LastTerm = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, NextTerm, LastIndex, LastTerm);
  }
};

/// Replies to a PreVoteRequest.
struct PreVoteReply {
  MessageHeader Header;
  uint64_t NextTerm = 0;
  bool Granted = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, NextTerm, Granted);
  }
};

/// Asks for the vote in the term of the header.
struct VoteRequest {
  MessageHeader Header;
  uint64_t LastIndex = 0;
  uint64_t LastTerm = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, LastIndex, LastTerm);
  }
};

/// Replies to a VoteRequest. A granted vote is durable.
struct VoteReply {
  MessageHeader Header;
  bool Granted = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, Granted);
  }
};

/// Carries the entries after \p PreviousIndex. Without entries it is a
/// heartbeat.
struct AppendRequest {
  MessageHeader Header;
  uint64_t PreviousIndex = 0;
  uint64_t PreviousTerm = 0;
  std::vector<LogEntry> Entries;
  uint64_t CommitIndex = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, PreviousIndex, PreviousTerm, Entries, CommitIndex);
  }
};

/// Replies to an AppendRequest or SnapshotRequest.
struct AppendReply {
  MessageHeader Header;
  bool Accepted = false;
  /// If accepted: the entries up to this index are durable and match the
  /// leader's.
  uint64_t MatchIndex = 0;
  /// If refused: the index to send next; 0 asks for the snapshot.
  uint64_t NextIndexHint = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, Accepted, MatchIndex, NextIndexHint);
  }
};

/// Carries the leader's snapshot to a replica that lacks entries before the
/// leader's log.
struct SnapshotRequest {
  MessageHeader Header;
  ReplicaSnapshot Snapshot;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Header, Snapshot);
  }
};

/// Asks the leader to bring a replica that is not a voter up to date.
struct JoinRequest {
  MessageHeader Header;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Header); }
};

/// Any message between two replicas.
using ReplicationMessage =
    std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply,
                 AppendRequest, AppendReply, SnapshotRequest, JoinRequest>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_TYPES_REPLICATIONMESSAGE_H
