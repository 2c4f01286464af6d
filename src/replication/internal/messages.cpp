#include "replication/internal/replicastep.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

const MessageHeader &messageHeader(const ReplicationMessage &Message) {
  return std::visit(
      [](const auto &Alternative) -> const MessageHeader & {
        return Alternative.Header;
      },
      Message);
}

/// Informs the sender of an outdated request about the newer term.
void refuseOutdated(ReplicaStep &Step, const ReplicationMessage &Message) {
  const Voter &Receiver = messageHeader(Message).From;
  const MessageHeader Header = makeHeader(Step, Receiver);
  if (std::holds_alternative<VoteRequest>(Message))
    Step.emit(SendReplicationMessage{Receiver.Name, VoteReply{Header, false}});
  const uint64_t NextIndex = lastIndex(Step.State) + 1;
  if (std::holds_alternative<AppendRequest>(Message) ||
      std::holds_alternative<SnapshotRequest>(Message))
    Step.emit(SendReplicationMessage{Receiver.Name,
                                     AppendReply{Header, false, 0, NextIndex}});
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

MessageHeader makeHeader(const ReplicaStep &Step, const Voter &Receiver) {
  return {Step.self(), Receiver.Identity, Step.State.Hard.Term};
}

void sendWhenDurable(ReplicaStep &Step, const Voter &Receiver,
                     ReplicationMessage Message) {
  ReplicaState &State = Step.State;
  State.HeldMessages.push_back(
      {State.LastPersistNumber, Receiver.Name, std::move(Message)});
  releaseHeldMessages(Step, State.DurablePersistNumber);
}

void releaseHeldMessages(ReplicaStep &Step, uint64_t Number) {
  ReplicaState &State = Step.State;
  State.DurablePersistNumber = std::max(State.DurablePersistNumber, Number);
  const auto IsReady = [&State](const HeldMessage &Held) {
    return Held.RequiredPersistNumber <= State.DurablePersistNumber;
  };
  // Held messages are sorted by RequiredPersistNumber. Handling one can hold or
  // release others, so the ready ones are removed first.
  const auto ReadyEnd = std::ranges::find_if_not(State.HeldMessages, IsReady);
  std::vector<HeldMessage> Released(
      std::make_move_iterator(State.HeldMessages.begin()),
      std::make_move_iterator(ReadyEnd));
  State.HeldMessages.erase(State.HeldMessages.begin(), ReadyEnd);
  for (HeldMessage &Held : Released) {
    if (messageHeader(Held.Message).ToIdentity == Step.self().Identity)
      receive(Step, Held.Message);
    else
      Step.emit(SendReplicationMessage{std::move(Held.Receiver),
                                       std::move(Held.Message)});
  }
}

void receive(ReplicaStep &Step, const ReplicationMessage &Message) {
  const MessageHeader &Header = messageHeader(Message);
  if (const auto *Join = std::get_if<JoinRequest>(&Message))
    return onJoinRequest(Step, *Join);
  if (Header.ToIdentity != Step.self().Identity)
    return;
  if (const auto *PreVote = std::get_if<PreVoteRequest>(&Message))
    return onPreVoteRequest(Step, *PreVote);
  // A voter that was disconnected must not depose a leader that others still
  // receive messages from.
  if (std::holds_alternative<VoteRequest>(Message) && isLeaderAlive(Step))
    return;
  // A pre-vote is granted without a change of term, so the term of the reply
  // may be lower.
  const bool TermMayBeLower = std::holds_alternative<PreVoteReply>(Message);
  if (Header.Term < Step.State.Hard.Term && !TermMayBeLower)
    return refuseOutdated(Step, Message);
  if (Header.Term > Step.State.Hard.Term)
    adoptTerm(Step, Header.Term);
  std::visit(CurrentTermHandler{Step}, Message);
}

} // namespace sapphiremoor::detail
