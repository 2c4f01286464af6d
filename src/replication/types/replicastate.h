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
  /// The voters of a new cluster. Used only if the data folder is empty. A
  /// replica that joins a running cluster must leave it empty.
  std::vector<Voter> InitialVoters;
  /// VMs that a replica which is not a voter asks to bring it up to date.
  std::vector<std::string> Peers;
  /// Several round trips between regions plus a synced write.
  Duration MinElectionTimeout = std::chrono::seconds(1);
  Duration MaxElectionTimeout = std::chrono::seconds(2);
  /// Four heartbeats fit into the shortest election timeout.
  Duration HeartbeatInterval = std::chrono::milliseconds(250);
  /// The leader forgets a learner that is silent for longer.
  Duration LearnerTimeout = std::chrono::seconds(10);
  /// Time after which a snapshot that was not acknowledged is sent again.
  Duration SnapshotResendInterval = std::chrono::seconds(1);
  /// Number of committed entries after which a snapshot is needed.
  uint64_t SnapshotInterval = 1000;
};

/// The roles of a replica. charts/replica.json shows the transitions.
enum class ReplicaRole {
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /// The data folder has failed: the replica does not vote, acknowledge or
  /// lead.
  Lost,
};

/// What the leader knows about one replica, including itself.
struct FollowerProgress {
  /// Index of the next entry to send; 0 means that the snapshot is sent.
  uint64_t NextIndex = 0;
  /// Entries up to this index are durable on the replica.
  uint64_t MatchIndex = 0;
  Instant LastReply{};
  Instant SnapshotResendTime{};
};

/// A message that must not be sent before a persist effect is durable.
struct HeldMessage {
  uint64_t RequiredPersistNumber = 0;
  std::string Receiver;
  ReplicationMessage Message;
};

/// The complete state of one replica. Log[0] has the index Snapshot.Index + 1.
struct ReplicaState {
  ReplicaConfig Config;
  ReplicaRole Role = ReplicaRole::Learner;
  HardState Hard;
  ReplicaSnapshot Snapshot;
  std::vector<LogEntry> Log;
  /// The latest voters in the log, whether committed or not. Empty until the
  /// first snapshot has arrived.
  std::vector<Voter> Voters;
  uint64_t VotersIndex = 0;
  std::optional<Voter> Leader;
  std::optional<Instant> LastLeaderContact;
  Instant ElectionDeadline{};
  Instant HeartbeatDue{};
  /// Voters that granted the current pre-vote or vote.
  std::set<Voter> GrantedVotes;
  std::map<Voter, FollowerProgress> Followers;
  /// Request numbers of this leader's proposals, by log index.
  std::map<uint64_t, uint64_t> Proposals;
  std::vector<HeldMessage> HeldMessages;
  uint64_t LastPersistNumber = 0;
  uint64_t DurablePersistNumber = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_REPLICATION_TYPES_REPLICASTATE_H
