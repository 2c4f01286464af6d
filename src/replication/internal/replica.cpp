#include "replication/replica.h"
#include "replication/internal/replicastep.h"

namespace sapphiremoor {

namespace {

/// Handles an event of a replica whose data folder works.
struct EventHandler {
  detail::ReplicaStep &Step;

  void operator()(const Tick &) const {
    if (Step.State.Role == ReplicaRole::Leader)
      detail::leaderTick(Step);
    else if (Step.Now >= Step.State.ElectionDeadline)
      detail::onElectionTimeout(Step);
  }
  void operator()(const MessageReceived &Event) const {
    const bool NameMatches = std::visit(
        [&Event](const auto &Message) {
          return Message.Header.From.Name == Event.From;
        },
        Event.Message);
    if (NameMatches)
      detail::receive(Step, Event.Message);
  }
  void operator()(const ProposeCommand &Event) const {
    detail::onProposeCommand(Step, Event);
  }
  void operator()(const ProposeVoterChange &Event) const {
    detail::onProposeVoterChange(Step, Event);
  }
  void operator()(const PersistCompleted &Event) const {
    detail::releaseHeldMessages(Step, Event.Number);
  }
  void operator()(const StorageLost &) const {
    detail::stepDown(Step);
    Step.State.Role = ReplicaRole::Lost;
    Step.State.Leader.reset();
    Step.State.HeldMessages.clear();
  }
  void operator()(const SnapshotCreated &Event) const {
    ReplicaState &State = Step.State;
    if (Event.Index <= State.Snapshot.Index ||
        Event.Index > State.Hard.CommitIndex)
      return;
    detail::storeSnapshot(Step,
                          {Event.Index, detail::entryTerm(State, Event.Index),
                           detail::findVoters(State, Event.Index).first,
                           Event.Bytes},
                          false);
  }
};

/// Handles an event of a replica whose data folder has failed: only proposals
/// are answered, with an error.
void stepWithoutStorage(detail::ReplicaStep &Step, const ReplicaEvent &Event) {
  if (const auto *Request = std::get_if<ProposeCommand>(&Event))
    detail::onProposeCommand(Step, *Request);
  if (const auto *Request = std::get_if<ProposeVoterChange>(&Event))
    detail::onProposeVoterChange(Step, *Request);
}

} // namespace

std::vector<ReplicaEffect> step(ReplicaState &State, const ReplicaEvent &Event,
                                Instant Now, Random &Rng) {
  detail::ReplicaStep Step{State, Now, Rng, {}};
  if (State.Role == ReplicaRole::Lost)
    stepWithoutStorage(Step, Event);
  else
    std::visit(EventHandler{Step}, Event);
  return std::move(Step.Effects);
}

std::string_view roleName(ReplicaRole Role) {
  switch (Role) {
  case ReplicaRole::Learner:
    return "learner";
  case ReplicaRole::Follower:
    return "follower";
  case ReplicaRole::PreCandidate:
    return "pre_candidate";
  case ReplicaRole::Candidate:
    return "candidate";
  case ReplicaRole::Leader:
    return "leader";
  case ReplicaRole::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace sapphiremoor
