#include "replication/internal/replicastep.h"

#include <algorithm>
#include <functional>

namespace sapphiremoor::detail {

namespace {

/// Bounds of one AppendRequest, far below the frame limit of 8 MB.
constexpr std::size_t MostEntries = 64;
constexpr std::size_t MostBytes = std::size_t{1} << 20;

uint64_t ownMatch(const ReplicaStep &Step) {
  return Step.State.Followers.at(Step.self()).Match;
}

/// Returns the entries from \p First on that are durable here, within the
/// bounds of one request but at least one.
std::vector<LogEntry> entriesFrom(const ReplicaStep &Step, uint64_t First) {
  const ReplicaState &State = Step.State;
  std::vector<LogEntry> Entries;
  std::size_t Bytes = 0;
  for (uint64_t I = First; I <= ownMatch(Step); ++I) {
    const LogEntry &Entry =
        State.Log[static_cast<std::size_t>(I - State.Snapshot.Index - 1)];
    Bytes += Entry.Bytes.size();
    const bool Full = Entries.size() == MostEntries || Bytes > MostBytes;
    if (Full && !Entries.empty())
      break;
    Entries.push_back(Entry);
  }
  return Entries;
}

void sendSnapshot(ReplicaStep &Step, const Voter &To,
                  FollowerProgress &Progress) {
  const ReplicaState &State = Step.State;
  const ReplicaSnapshot &Snapshot = State.Snapshot;
  const MessageHeader Header = headerTo(Step, To);
  if (Step.Now >= Progress.SnapshotDue) {
    Progress.SnapshotDue = Step.Now + State.Config.SnapshotResend;
    return Step.emit(SendTo{To.Name, SnapshotRequest{Header, Snapshot}});
  }
  // Keeps the follower from an election while the snapshot is under way.
  Step.emit(SendTo{
      To.Name, AppendRequest{Header, Snapshot.Index, Snapshot.Term, {}, 0}});
}

void sendAppend(ReplicaStep &Step, const Voter &To,
                FollowerProgress &Progress) {
  const ReplicaState &State = Step.State;
  if (Progress.Next <= State.Snapshot.Index)
    return sendSnapshot(Step, To, Progress);
  const uint64_t Previous = Progress.Next - 1;
  AppendRequest Request{headerTo(Step, To), Previous, termAt(State, Previous),
                        entriesFrom(Step, Progress.Next), State.Hard.Commit};
  // Later entries follow without waiting for the reply; if this request is
  // lost, the refusal of a later one resets Next.
  Progress.Next += Request.Entries.size();
  Step.emit(SendTo{To.Name, std::move(Request)});
}

void sendToAll(ReplicaStep &Step) {
  for (auto &[Each, Progress] : Step.State.Followers)
    if (Each != Step.self())
      sendAppend(Step, Each, Progress);
}

/// Commits what a majority of the voters holds. Only an entry of the own term
/// counts: an older one on a majority can still be replaced.
void advanceCommit(ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  std::vector<uint64_t> Matches;
  for (const Voter &Each : State.Voters) {
    const auto Known = State.Followers.find(Each);
    Matches.push_back(Known == State.Followers.end() ? 0 : Known->second.Match);
  }
  std::ranges::sort(Matches, std::greater());
  const uint64_t Majority = Matches[Matches.size() / 2];
  if (Majority > State.Hard.Commit &&
      termAt(State, Majority) == State.Hard.Term)
    commitUpTo(Step, Majority);
}

/// True if a majority of the voters answered within an election timeout. A
/// leader that only its followers can hear, or that cannot be heard, must not
/// keep others from electing one.
bool majorityAnswers(const ReplicaStep &Step) {
  const ReplicaState &State = Step.State;
  const auto Answering =
      std::ranges::count_if(State.Voters, [&](const Voter &Each) {
        if (Each == Step.self())
          return true;
        const auto Known = State.Followers.find(Each);
        return Known != State.Followers.end() &&
               Step.Now - Known->second.LastReply <
                   State.Config.LongestElection;
      });
  return static_cast<std::size_t>(Answering) * 2 > State.Voters.size();
}

void forgetSilentLearners(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  std::erase_if(State.Followers, [&](const auto &Each) {
    const bool Votes =
        std::ranges::find(State.Voters, Each.first) != State.Voters.end();
    return !Votes && Each.first != Step.self() &&
           Step.Now - Each.second.LastReply > State.Config.LearnerSilence;
  });
}

} // namespace

void becomeLeader(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  State.Role = ReplicaRole::Leader;
  State.Leader = Step.self();
  State.Followers.clear();
  const uint64_t Next = lastIndex(State) + 1;
  for (const Voter &Each : State.Voters)
    State.Followers[Each] = {Next, 0, Step.Now, Instant{}};
  State.HeartbeatDue = Step.Now + State.Config.Heartbeat;
  Step.emit(BecameLeader{State.Hard.Term});
  appendOwn(Step, {State.Hard.Term, EntryKind::TermStart, {}, {}});
  sendToAll(Step);
}

void leaderTick(ReplicaStep &Step) {
  ReplicaState &State = Step.State;
  if (!majorityAnswers(Step))
    return stepDown(Step);
  if (Step.Now < State.HeartbeatDue)
    return;
  State.HeartbeatDue = Step.Now + State.Config.Heartbeat;
  forgetSilentLearners(Step);
  sendToAll(Step);
}

void onAppendReply(ReplicaStep &Step, const AppendReply &Reply) {
  ReplicaState &State = Step.State;
  const Voter &From = Reply.Header.From;
  const auto Found = State.Followers.find(From);
  if (State.Role != ReplicaRole::Leader || Found == State.Followers.end())
    return;
  FollowerProgress &Progress = Found->second;
  Progress.LastReply = Step.Now;
  if (!Reply.Accepted) {
    const uint64_t Before = Progress.Next;
    // The hint may be below Match: a late refusal, or a follower whose last
    // record was damaged and cut. Sending again is harmless.
    Progress.Next = std::min(Reply.NextHint, lastIndex(State) + 1);
    // Only a refusal that moves back is answered at once, else request and
    // refusal could follow each other without end. A snapshot that is under way
    // is not sent again either. The next heartbeat covers both.
    const bool SnapshotSent = Progress.Next <= State.Snapshot.Index &&
                              Step.Now < Progress.SnapshotDue;
    if (Progress.Next < Before && !SnapshotSent)
      sendAppend(Step, From, Progress);
    return;
  }
  const bool Advanced = Reply.Match > Progress.Match;
  Progress.Match = std::max(Progress.Match, Reply.Match);
  Progress.Next = std::max(Progress.Next, Reply.Match + 1);
  if (!Advanced)
    return;
  const bool OwnAppend = From == Step.self();
  if (OwnAppend)
    sendToAll(Step);
  else if (Progress.Next <= ownMatch(Step))
    sendAppend(Step, From, Progress);
  advanceCommit(Step);
}

void onJoinRequest(ReplicaStep &Step, const JoinRequest &Request) {
  ReplicaState &State = Step.State;
  const Voter &From = Request.Header.From;
  if (State.Role != ReplicaRole::Leader || From == Step.self())
    return;
  const auto [Found, New] = State.Followers.try_emplace(From);
  Found->second.LastReply = Step.Now;
  if (New)
    sendAppend(Step, From, Found->second);
}

} // namespace sapphiremoor::detail
