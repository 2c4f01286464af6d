#include "replication/internal/replicastep.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

const MessageHeader &headerOf(const ReplicationMessage &Message) {
  return std::visit(
      [](const auto &Each) -> const MessageHeader & { return Each.Header; },
      Message);
}

/// Tells the sender of an outdated request the newer term.
void refuseOutdated(ReplicaStep &Step, const ReplicationMessage &Message) {
  const Voter &To = headerOf(Message).From;
  const MessageHeader Header = headerTo(Step, To);
  if (std::holds_alternative<VoteRequest>(Message))
    Step.emit(SendTo{To.Name, VoteReply{Header, false}});
  const uint64_t Next = lastIndex(Step.State) + 1;
  if (std::holds_alternative<AppendRequest>(Message) ||
      std::holds_alternative<SnapshotRequest>(Message))
    Step.emit(SendTo{To.Name, AppendReply{Header, false, 0, Next}});
}

/// Handles a message whose term is not outdated.
struct CurrentTermHandler {
  ReplicaStep &Step;

  void operator()(const PreVoteRequest &) const {}
  void operator()(const JoinRequest &) const {}
  void operator()(const PreVoteReply &Reply) const {
    onPreVoteReply(Step, Reply);
  }
  void operator()(const VoteRequest &Request) const {
    onVoteRequest(Step, Request);
  }
  void operator()(const VoteReply &Reply) const { onVoteReply(Step, Reply); }
  void operator()(const AppendRequest &Request) const {
    onAppendRequest(Step, Request);
  }
  void operator()(const AppendReply &Reply) const {
    onAppendReply(Step, Reply);
  }
  void operator()(const SnapshotRequest &Request) const {
    onSnapshotRequest(Step, Request);
  }
};

} // namespace

MessageHeader headerTo(const ReplicaStep &Step, const Voter &To) {
  return {Step.self(), To.Identity, Step.State.Hard.Term};
}

void sendWhenDurable(ReplicaStep &Step, const Voter &To,
                     ReplicationMessage Message) {
  ReplicaState &State = Step.State;
  State.Held.push_back({State.LastPersist, To.Name, std::move(Message)});
  releaseHeld(Step, State.DurablePersist);
}

void releaseHeld(ReplicaStep &Step, uint64_t Number) {
  ReplicaState &State = Step.State;
  State.DurablePersist = std::max(State.DurablePersist, Number);
  const auto Ready = [&State](const HeldMessage &Held) {
    return Held.AfterPersist <= State.DurablePersist;
  };
  // Held messages are in the order of AfterPersist. Handling one can hold or
  // release others, so the ready ones are taken out first.
  const auto End = std::ranges::find_if_not(State.Held, Ready);
  std::vector<HeldMessage> Released(std::make_move_iterator(State.Held.begin()),
                                    std::make_move_iterator(End));
  State.Held.erase(State.Held.begin(), End);
  for (HeldMessage &Held : Released) {
    if (headerOf(Held.Message).ToIdentity == Step.self().Identity)
      receive(Step, Held.Message);
    else
      Step.emit(SendTo{std::move(Held.Name), std::move(Held.Message)});
  }
}

void receive(ReplicaStep &Step, const ReplicationMessage &Message) {
  const MessageHeader &Header = headerOf(Message);
  if (const auto *Join = std::get_if<JoinRequest>(&Message))
    return onJoinRequest(Step, *Join);
  if (Header.ToIdentity != Step.self().Identity)
    return;
  if (const auto *PreVote = std::get_if<PreVoteRequest>(&Message))
    return onPreVoteRequest(Step, *PreVote);
  // A voter that was cut off must not depose a leader that others still hear.
  if (std::holds_alternative<VoteRequest>(Message) && leaderIsAlive(Step))
    return;
  // A pre-vote is granted without a change of term, so the term of the reply
  // may be lower.
  const bool AnyTerm = std::holds_alternative<PreVoteReply>(Message);
  if (Header.Term < Step.State.Hard.Term && !AnyTerm)
    return refuseOutdated(Step, Message);
  if (Header.Term > Step.State.Hard.Term)
    adoptTerm(Step, Header.Term);
  std::visit(CurrentTermHandler{Step}, Message);
}

} // namespace sapphiremoor::detail
