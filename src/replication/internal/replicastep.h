#ifndef SAPPHIREMOOR_REPLICATION_INTERNAL_REPLICASTEP_H
#define SAPPHIREMOOR_REPLICATION_INTERNAL_REPLICASTEP_H

#include "replication/replica.h"

#include <string>
#include <utility>

namespace sapphiremoor::detail {

/// One step of a replica: its state, the time and the effects so far.
struct ReplicaStep {
  ReplicaState &State;
  Instant Now;
  Random &Rng;
  std::vector<ReplicaEffect> Effects;

  const Voter &self() const { return State.Config.Self; }
  void emit(ReplicaEffect Effect) { Effects.push_back(std::move(Effect)); }
};

// Log, in log.cpp.

/// Term of the entry \p Index, which is in the log or the snapshot's last.
uint64_t entryTerm(const ReplicaState &State, uint64_t Index);
/// The voters after the entry \p Index and the index that set them.
std::pair<std::vector<Voter>, uint64_t> findVoters(const ReplicaState &State,
                                                   uint64_t Index);
/// Sets the voters to the latest in the log, and the role of a passive replica.
void refreshVoters(ReplicaState &State);
/// Appends \p Entries to the log and persists them.
void appendEntries(ReplicaStep &Step, std::vector<LogEntry> Entries);
/// Removes the entry \p Index and all later ones.
void truncateLog(ReplicaStep &Step, uint64_t Index);
/// Takes \p Snapshot as the start of the log.
void storeSnapshot(ReplicaStep &Step, ReplicaSnapshot Snapshot,
                   bool DropAllEntries);
/// Applies the entries up to \p Index, which are committed.
void commitEntries(ReplicaStep &Step, uint64_t Index);
/// Persists term, vote and committed index.
void persistHardState(ReplicaStep &Step);

// Messages, in messages.cpp.

/// Returns the header of a message to \p Receiver.
MessageHeader makeHeader(const ReplicaStep &Step, const Voter &Receiver);
/// Sends \p Message as soon as everything persisted so far is durable. A
/// message to the replica itself is handled like one from another.
void sendWhenDurable(ReplicaStep &Step, const Voter &Receiver,
                     ReplicationMessage Message);
/// Sends what waited for the persist effect \p Number.
void releaseHeldMessages(ReplicaStep &Step, uint64_t Number);
/// Handles one message.
void receive(ReplicaStep &Step, const ReplicationMessage &Message);

// Elections, in election.cpp.

void resetElectionDeadline(ReplicaStep &Step);
/// Becomes passive; own proposals end with an unknown outcome.
void stepDown(ReplicaStep &Step);
/// Moves on to the higher \p Term.
void adoptTerm(ReplicaStep &Step, uint64_t Term);
/// True while a leader is known to be alive, so that no vote is granted.
bool isLeaderAlive(const ReplicaStep &Step);
void onElectionTimeout(ReplicaStep &Step);
void onPreVoteRequest(ReplicaStep &Step, const PreVoteRequest &Request);
void onPreVoteReply(ReplicaStep &Step, const PreVoteReply &Reply);
void onVoteRequest(ReplicaStep &Step, const VoteRequest &Request);
void onVoteReply(ReplicaStep &Step, const VoteReply &Reply);

// Following, in following.cpp.

void onAppendRequest(ReplicaStep &Step, const AppendRequest &Request);
void onSnapshotRequest(ReplicaStep &Step, const SnapshotRequest &Request);

// Leading, in leading.cpp.

void becomeLeader(ReplicaStep &Step);
void leaderTick(ReplicaStep &Step);
void onAppendReply(ReplicaStep &Step, const AppendReply &Reply);
void onJoinRequest(ReplicaStep &Step, const JoinRequest &Request);

// Proposals, in proposals.cpp.

void onProposeCommand(ReplicaStep &Step, const ProposeCommand &Request);
void onProposeVoterChange(ReplicaStep &Step, const ProposeVoterChange &Request);
/// Appends an entry of this leader and acknowledges it to itself once durable.
void appendLeaderEntry(ReplicaStep &Step, LogEntry Entry);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_REPLICATION_INTERNAL_REPLICASTEP_H
