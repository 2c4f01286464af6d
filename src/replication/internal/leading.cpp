#include "replication/internal/replicastep.h"

#include <algorithm>
#include <functional>

namespace sapphiremoor::detail {

namespace {

/// Limits of one AppendRequest, far below the frame limit of 8 MB.
constexpr std::size_t MaxEntriesPerRequest = 64;
constexpr std::size_t MaxBytesPerRequest = std::size_t{1} << 20;

uint64_t ownMatchIndex(const ReplicaStep &Step) {
  return Step.State.Followers.at(Step.self()).MatchIndex;
}

/// Returns the durable entries from \p FirstIndex on, within the limits of one
/// request but at least one if there is any.
std::vector<LogEntry> collectEntries(const ReplicaStep &Step,
                                     uint64_t FirstIndex) {
  const ReplicaState &State = Step.State;
  std::vector<LogEntry> Entries;
  std::size_t Bytes = 0;
  for (uint64_t I = FirstIndex; I <= ownMatchIndex(Step); ++I) {
    const LogEntry &Entry =
        State.Log[static_cast<std::size_t>(I - State.Snapshot.Index - 1)];
    Bytes += Entry.Bytes.size();
    const bool Full =
        Entries.size() == MaxEntriesPerRequest || Bytes > MaxBytesPerRequest;
    if (Full && !Entries.empty())
      break;
    Entries.push_back(Entry);
  }
  return Entries;
}

void sendSnapshot(ReplicaStep &Step, const Voter &Receiver,
                  FollowerProgress &Progress) {
  const ReplicaState &State = Step.State;
  const ReplicaSnapshot &Snapshot = State.Snapshot;
  const MessageHeader Header = makeHeader(Step, Receiver);
  if (Step.Now >= Progress.SnapshotResendTime) {
    Progress.SnapshotResendTime =
        Step.Now + State.Config.SnapshotResendInterval;
    return Step.emit(SendReplicationMessage{Receiver.Name,
                                            SnapshotRequest{Header, Snapshot}});
  }
  // Prevents the follower from starting an election while the snapshot is in
  // transit.
  Step.emit(SendReplicationMessage{
      Receiver.Name,
      AppendRequest{Header, Snapshot.Index, Snapshot.Term, {}, 0}});
}

void sendAppend(ReplicaStep &Step, const Voter &Receiver,
                FollowerProgress &Progress) {
  const ReplicaState &State = Step.State;
  if (Progress.NextIndex <= State.Snapshot.Index)
    return sendSnapshot(Step, Receiver, Progress);
  const uint64_t PreviousIndex = Progress.NextIndex - 1;
  AppendRequest Request{makeHeader(Step, Receiver), PreviousIndex,
                        entryTerm(State, PreviousIndex),
                        collectEntries(Step, Progress.NextIndex),
                        State.Hard.CommitIndex};
  // Later entries are sent without waiting for the reply. If this request is
  // lost, the refusal of a later one resets NextIndex.
  Progress.NextIndex += Request.Entries.size();
  Step.emit(SendReplicationMessage{Receiver.Name, std::move(Request)});
}

void sendToFollowers(ReplicaStep &Step) {
  for (auto &[Replica, Progress] : Step.State.Followers)
    if (Replica != Step.self())
      sendAppend(Step, Replica, Progress);
}

/// Commits the entries that a majority of the voters holds. Only an entry of
/// the current term counts: an older one can still be replaced although a
/// majority holds it.
void advanceCommit(ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  std::vector<uint64_t> MatchIndexes;
  for (const Voter &Replica : State.Voters) {
    const auto FollowerIt = State.Followers.find(Replica);
    MatchIndexes.push_back(FollowerIt == State.Followers.end()
                               ? 0
                               : FollowerIt->second.MatchIndex);
  }
  std::ranges::sort(MatchIndexes, std::greater());
  const uint64_t MajorityIndex = MatchIndexes[MatchIndexes.size() / 2];
  if (MajorityIndex > State.Hard.CommitIndex &&
      entryTerm(State, MajorityIndex) == State.Hard.Term)
    commitEntries(Step, MajorityIndex);
}

/// Returns true if a majority of the voters replied within an election timeout.
/// A leader that receives no replies, or that nobody receives, must not prevent
/// the others from electing one.
bool isMajorityResponding(const ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  const auto RespondingCount =
      std::ranges::count_if(State.Voters, [&](const Voter &Replica) {
        if (Replica == Step.self())
          return true;
        const auto FollowerIt = State.Followers.find(Replica);
        return FollowerIt != State.Followers.end() &&
               Step.Now - FollowerIt->second.LastReply <
                   State.Config.MaxElectionTimeout;
      });
  return static_cast<std::size_t>(RespondingCount) * 2 > State.Voters.size();
}

void removeSilentLearners(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  std::erase_if(State.Followers, [&](const auto &Entry) {
    const bool IsVoter =
        std::ranges::find(State.Voters, Entry.first) != State.Voters.end();
    return !IsVoter && Entry.first != Step.self() &&
           Step.Now - Entry.second.LastReply > State.Config.LearnerTimeout;
  });
}

} // namespace

void becomeLeader(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::Leader;
  State.Leader = Step.self();
  State.Followers.clear();
  const uint64_t NextIndex = lastIndex(State) + 1;
  for (const Voter &Replica : State.Voters)
    State.Followers[Replica] = {NextIndex, 0, Step.Now, Instant{}};
  State.HeartbeatDue = Step.Now + State.Config.HeartbeatInterval;
  Step.emit(BecameLeader{State.Hard.Term});
  appendLeaderEntry(Step, {State.Hard.Term, EntryKind::TermStart, {}, {}});
  sendToFollowers(Step);
}

void leaderTick(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  if (!isMajorityResponding(Step))
    return stepDown(Step);
  if (Step.Now < State.HeartbeatDue)
    return;
  State.HeartbeatDue = Step.Now + State.Config.HeartbeatInterval;
  removeSilentLearners(Step);
  sendToFollowers(Step);
}

void onAppendReply(ReplicaStep &Step, const AppendReply &Reply) {
  ReplicaState &State = Step.State;
  const Voter &Sender = Reply.Header.From;
  const auto FollowerIt = State.Followers.find(Sender);
  if (State.Role != ReplicaRole::Leader || FollowerIt == State.Followers.end())
    return;
  FollowerProgress &Progress = FollowerIt->second;
  Progress.LastReply = Step.Now;
  if (!Reply.Accepted) {
    const uint64_t OldNextIndex = Progress.NextIndex;
    // The hint may be below MatchIndex: the refusal may be late, or the
    // follower has cut off a damaged last record. Sending the entries again is
    // harmless.
    Progress.NextIndex = std::min(Reply.NextIndexHint, lastIndex(State) + 1);
    // Only a refusal that moves NextIndex back is answered immediately,
    // otherwise requests and refusals could follow each other endlessly. A
    // snapshot in transit is not sent again either. The next heartbeat covers
    // both cases.
    const bool SnapshotInFlight = Progress.NextIndex <= State.Snapshot.Index &&
                                  Step.Now < Progress.SnapshotResendTime;
    if (Progress.NextIndex < OldNextIndex && !SnapshotInFlight)
      sendAppend(Step, Sender, Progress);
    return;
  }
  const bool Advanced = Reply.MatchIndex > Progress.MatchIndex;
  Progress.MatchIndex = std::max(Progress.MatchIndex, Reply.MatchIndex);
  Progress.NextIndex = std::max(Progress.NextIndex, Reply.MatchIndex + 1);
  if (!Advanced)
    return;
  const bool IsOwnReply = Sender == Step.self();
  if (IsOwnReply)
    sendToFollowers(Step);
  else if (Progress.NextIndex <= ownMatchIndex(Step))
    sendAppend(Step, Sender, Progress);
  advanceCommit(Step);
}

void onJoinRequest(ReplicaStep &Step, const JoinRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &Sender = Request.Header.From;
  if (State.Role != ReplicaRole::Leader || Sender == Step.self())
    return;
  const auto [FollowerIt, Inserted] = State.Followers.try_emplace(Sender);
  FollowerIt->second.LastReply = Step.Now;
  if (Inserted)
    sendAppend(Step, Sender, FollowerIt->second);
}

} // namespace sapphiremoor::detail
