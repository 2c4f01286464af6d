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

/// Returns the term of the entry \p Index, which must be in the log or the last
/// one of the snapshot.
uint64_t entryTerm(const ReplicaState &State, uint64_t Index);
/// Returns the voters after the entry \p Index, and the index of the entry that
/// set them.
std::pair<std::vector<Voter>, uint64_t> findVoters(const ReplicaState &State,
                                                   uint64_t Index);
/// Sets the voters to the latest in the log. A learner or follower changes its
/// role accordingly.
void refreshVoters(ReplicaState &State);
/// Appends \p Entries to the log and persists them.
void appendEntries(ReplicaStep &Step, std::vector<LogEntry> Entries);
/// Removes the entry \p Index and all later ones.
void truncateLog(ReplicaStep &Step, uint64_t Index);
/// Stores \p Snapshot and removes the entries that it replaces from the log;
/// with \p DropAllEntries, all entries.
void storeSnapshot(ReplicaStep &Step, ReplicaSnapshot Snapshot,
                   bool DropAllEntries);
/// Applies the entries up to \p Index, which are committed.
void commitEntries(ReplicaStep &Step, uint64_t Index);
/// Persists the term, the vote and the commit index.
void persistHardState(ReplicaStep &Step);

// Messages, in messages.cpp.

/// Returns the header of a message to \p Receiver.
MessageHeader makeHeader(const ReplicaStep &Step, const Voter &Receiver);
/// Sends \p Message as soon as everything persisted so far is durable. If the
/// receiver is this replica itself, handles the message as if it had arrived.
void sendWhenDurable(ReplicaStep &Step, const Voter &Receiver,
                     ReplicationMessage Message);
/// Records that the persist effects up to \p Number are durable and sends the
/// messages that waited for them.
void releaseHeldMessages(ReplicaStep &Step, uint64_t Number);
/// Handles a message from another replica or from this one.
void receive(ReplicaStep &Step, const ReplicationMessage &Message);

// Elections, in election.cpp.

void resetElectionDeadline(ReplicaStep &Step);
/// Becomes follower or learner. Pending proposals end with an unknown outcome.
void stepDown(ReplicaStep &Step);
/// Changes to the higher \p Term and becomes follower or learner.
void adoptTerm(ReplicaStep &Step, uint64_t Term);
/// Returns true while this replica leads or has recent contact with a leader,
/// so that it grants no vote.
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
/// Appends an entry as the leader, which acknowledges it to itself once it is
/// durable.
void appendLeaderEntry(ReplicaStep &Step, LogEntry Entry);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_REPLICATION_INTERNAL_REPLICASTEP_H
