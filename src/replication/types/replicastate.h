#ifndef SAPPHIREMOOR_REPLICATION_TYPES_REPLICASTATE_H
#define SAPPHIREMOOR_REPLICATION_TYPES_REPLICASTATE_H

#include "framework/core/time.h"
#include "replication/types/replicationmessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor {

/// The settings of one replica.
struct ReplicaConfig {
  Voter Self;
  /// The first voters of a new cluster. Read only when the data folder is
  /// empty; a replica that joins a running cluster must leave it empty.
  std::vector<Voter> InitialVoters;
  /// VMs that a replica without a vote asks to be brought up to date.
  std::vector<std::string> Peers;
  /// Several round trips between regions plus a synced write.
  Duration MinElectionTimeout = std::chrono::seconds(1);
  Duration MaxElectionTimeout = std::chrono::seconds(2);
  /// Four within the shortest election timeout.
  Duration HeartbeatInterval = std::chrono::milliseconds(250);
  /// A replica without a vote that is silent for longer is forgotten.
  Duration LearnerTimeout = std::chrono::seconds(10);
  /// Time before a snapshot that was not acknowledged is sent again.
  Duration SnapshotResendInterval = std::chrono::seconds(1);
  /// Committed entries after which a snapshot is wanted.
  uint64_t SnapshotInterval = 1000;
};

/// Roles of a replica; charts/replica.json shows how they follow each other.
enum class ReplicaRole {
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /// The data folder failed: no vote, no acknowledgement, no leading.
  Lost,
};

/// What the leader knows about one replica, itself included.
struct FollowerProgress {
  /// Index to send next; 0 stands for the snapshot.
  uint64_t NextIndex = 0;
  /// Entries up to this index are durable there.
  uint64_t MatchIndex = 0;
  Instant LastReply{};
  Instant SnapshotResendTime{};
};

/// A message that must not leave before a persist effect is durable.
struct HeldMessage {
  uint64_t RequiredPersistNumber = 0;
  std::string Receiver;
  ReplicationMessage Message;
};

/// The whole state of one replica. Log[0] has the index Snapshot.Index + 1.
struct ReplicaState {
  ReplicaConfig Config;
  ReplicaRole Role = ReplicaRole::Learner;
  HardState Hard;
  ReplicaSnapshot Snapshot;
  std::vector<LogEntry> Log;
  /// The latest voters in the log, committed or not. Empty until the first
  /// snapshot has arrived.
  std::vector<Voter> Voters;
  uint64_t VotersIndex = 0;
  std::optional<Voter> Leader;
  std::optional<Instant> LastLeaderContact;
  Instant ElectionDeadline{};
  Instant HeartbeatDue{};
  /// Voters that granted the running pre-vote or vote.
  std::set<Voter> GrantedVotes;
  std::map<Voter, FollowerProgress> Followers;
  /// Request numbers of own proposals, by their index.
  std::map<uint64_t, uint64_t> Proposals;
  std::vector<HeldMessage> HeldMessages;
  uint64_t LastPersistNumber = 0;
  uint64_t DurablePersistNumber = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_TYPES_REPLICASTATE_H
