#include "versionregister/registernode.h"

#include "versionregister/internal/acceptor.h"
#include "versionregister/voterset.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

using detail::Operation;
using detail::Round;
using detail::RoundPhase;

RegisterNode::RegisterNode(const RegisterStart &Start,
                           const RegisterLimits &Limits, uint64_t Seed)
    : Self(Start.Self.Address), Proposer(processName(Start.Self)),
      Limits(Limits), Rng(Seed),
      RoundTimeout(Limits.FirstRoundTimeout, Limits.LongestRoundTimeout) {
  if (Start.StoredState) {
    State = *Start.StoredState;
    Voting = true;
    // A change of the voters that is not decided must not count before a round
    // has decided it.
    Voters = State.ChosenVoters.Voters.empty() ? State.Value.Voters
                                               : State.ChosenVoters;
    HighestRound = State.Promised.Round;
    // Chosen is stored after Accepted and may be older. Then the accepted value
    // is not known to be chosen.
    if (State.Chosen == State.Accepted && State.Accepted != Ballot{})
      NewestChosen = ChosenValue{State.Accepted, State.Value};
    return;
  }
  if (!Start.InitialVoters)
    return;
  Voters = *Start.InitialVoters;
  Voting = isVoter(Voters, Self);
  if (!Voting)
    return;
  State.Value.Voters = Voters;
  State.ChosenVoters = Voters;
  // Without a stored state, a restart would be mistaken for a lost disk.
  store();
}

uint64_t RegisterNode::put(const VersionedDocument &Document, Instant Now) {
  const uint64_t Number = NextOperation++;
  const Operation NewOperation{
      Number, Document, {}, Now + Limits.OperationTimeout};
  if (NewestChosen &&
      NewestChosen->Value.Document.Version >= Document.Version) {
    endOperation(NewOperation, OperationOutcome::Decided);
    return Number;
  }
  PendingOperations.push_back(NewOperation);
  startRoundIfNeeded(Now);
  return Number;
}

uint64_t RegisterNode::read(Instant Now) {
  const uint64_t Number = NextOperation++;
  PendingRead Read{{Number, {}, {}, Now + Limits.OperationTimeout}, {}};
  PendingReads.emplace(Number, std::move(Read));
  sendReadRequests(Number);
  return Number;
}

void RegisterNode::sendReadRequests(uint64_t Number) {
  for (const std::string &Voter : Voters.Voters)
    send(Voter, ReadRequest{Number});
}

void RegisterNode::restartReads(Instant Now) {
  if (CurrentRound && CurrentRound->Phase == RoundPhase::Accept)
    return;
  const auto IsRead = [](const Operation &Op) { return !Op.Put && !Op.Voters; };
  for (const Operation &Op : PendingOperations)
    if (IsRead(Op)) {
      PendingReads.emplace(Op.Number, PendingRead{Op, {}});
      sendReadRequests(Op.Number);
    }
  std::erase_if(PendingOperations, IsRead);
  if (CurrentRound && !CurrentRound->Recovering && PendingOperations.empty()) {
    reportRound(*CurrentRound, RoundOutcome::Overtaken, Now);
    CurrentRound.reset();
  }
}

void RegisterNode::changeVoters(const VoterSet &NewVoters, Instant Now) {
  if (NewVoters.Epoch != Voters.Epoch + 1)
    return;
  std::erase_if(PendingOperations,
                [](const Operation &Op) { return Op.Voters.has_value(); });
  PendingOperations.push_back(
      {NextOperation++, {}, NewVoters, Now + Limits.OperationTimeout});
  startRoundIfNeeded(Now);
}

void RegisterNode::receive(const PeerProcess &Sender,
                           const RegisterMessage &Message, Instant Now) {
  std::visit([&](const auto &Alternative) { handle(Sender, Alternative, Now); },
             Message);
}

void RegisterNode::confirmStored(uint64_t Number) {
  LastDurable = std::max(LastDurable, Number);
  const auto EndIt = RepliesAfterStore.upper_bound(Number);
  for (auto It = RepliesAfterStore.begin(); It != EndIt; ++It)
    Effects.emplace_back(It->second);
  RepliesAfterStore.erase(RepliesAfterStore.begin(), EndIt);
}

void RegisterNode::storeAgain() {
  if (LastStore > LastDurable)
    store();
}

void RegisterNode::tick(Instant Now) {
  expireOperations(Now);
  if (CurrentRound && Now - CurrentRound->Started > RoundTimeout.current())
    abandonRound(Now, RoundOutcome::TimedOut);
  if (CurrentRound && Now - CurrentRound->LastSent > Limits.ResendPeriod)
    resendRequests(Now);
  startRoundIfNeeded(Now);
}

std::vector<RegisterEffect> RegisterNode::takeEffects() {
  return std::exchange(Effects, {});
}

void RegisterNode::send(const std::string &Receiver, RegisterMessage Message) {
  Effects.emplace_back(SendToVoter{Receiver, std::move(Message)});
}

void RegisterNode::store() {
  Effects.emplace_back(StoreState{++LastStore, State});
}

void RegisterNode::reply(const PeerProcess &Receiver, RegisterMessage Message) {
  Effects.emplace_back(RegisterReply{Receiver, std::move(Message)});
}

void RegisterNode::replyDurable(const PeerProcess &Receiver,
                                RegisterMessage Message, uint64_t Store) {
  if (Store <= LastDurable)
    reply(Receiver, std::move(Message));
  else
    RepliesAfterStore.emplace(Store,
                              RegisterReply{Receiver, std::move(Message)});
}

void RegisterNode::handle(const PeerProcess &Sender,
                          const PrepareRequest &Request, Instant) {
  if (!Voting)
    return;
  HighestRound = std::max(HighestRound, Request.RoundBallot.Round);
  const Ballot OldPromised = State.Promised;
  const PrepareReply Reply = detail::prepare(State, Request);
  if (State.Promised != OldPromised)
    store();
  replyDurable(Sender, Reply, LastStore);
}

void RegisterNode::handle(const PeerProcess &Sender, const PrepareReply &Reply,
                          Instant Now) {
  HighestRound = std::max(HighestRound, Reply.Promised.Round);
  if (!CurrentRound || Reply.RoundBallot != CurrentRound->RoundBallot)
    return;
  if (Reply.Promised > CurrentRound->RoundBallot) {
    abandonRound(Now, RoundOutcome::Overtaken);
    return;
  }
  if (detail::recordPromise(*CurrentRound, Sender.Address, Reply))
    continueFirstPhase(Now);
}

void RegisterNode::handle(const PeerProcess &Sender,
                          const AcceptRequest &Request, Instant) {
  if (!Voting)
    return;
  HighestRound = std::max(HighestRound, Request.RoundBallot.Round);
  const Ballot OldAccepted = State.Accepted;
  const AcceptReply Reply = detail::accept(State, Request);
  if (State.Accepted != OldAccepted) {
    store();
    AcceptedStore = LastStore;
  }
  replyDurable(Sender, Reply, LastStore);
}

void RegisterNode::handle(const PeerProcess &Sender, const AcceptReply &Reply,
                          Instant Now) {
  HighestRound = std::max(HighestRound, Reply.Promised.Round);
  if (!CurrentRound || Reply.RoundBallot != CurrentRound->RoundBallot ||
      CurrentRound->Phase != RoundPhase::Accept)
    return;
  if (Reply.Promised != CurrentRound->RoundBallot) {
    abandonRound(Now, RoundOutcome::Overtaken);
    return;
  }
  CurrentRound->Accepted.insert(Sender.Address);
  if (detail::hasMajorityInAllSets(*CurrentRound, CurrentRound->Accepted))
    finishRound(Now);
}

void RegisterNode::handle(const PeerProcess &Sender, const ReadRequest &Request,
                          Instant) {
  if (Voting)
    replyDurable(Sender, ReadReply{Request.Number, State.Accepted},
                 AcceptedStore);
}

void RegisterNode::handle(const PeerProcess &Sender, const ReadReply &Reply,
                          Instant Now) {
  const auto It = PendingReads.find(Reply.Number);
  if (It == PendingReads.end())
    return;
  PendingRead &Read = It->second;
  Read.Replies[Sender.Address] = Reply.Accepted;
  std::set<std::string> Answered;
  std::ranges::transform(Read.Replies, std::inserter(Answered, Answered.end()),
                         [](const auto &Entry) { return Entry.first; });
  if (!isMajority(Voters, Answered))
    return;
  const bool AllChosen =
      std::ranges::all_of(Read.Replies, [this](const auto &Entry) {
        return NewestChosen && Entry.second == NewestChosen->ChosenBallot;
      });
  const Operation Finished = Read.ReadOperation;
  PendingReads.erase(It);
  if (AllChosen) {
    endOperation(Finished, OperationOutcome::Decided);
    return;
  }
  // Some voter has accepted a value that is not known to be chosen. A full
  // round decides it.
  PendingOperations.push_back(Finished);
  startRoundIfNeeded(Now);
}

void RegisterNode::handle(const PeerProcess &, const ChosenValue &Chosen,
                          Instant Now) {
  learn(Chosen, Now);
}

void RegisterNode::handle(const PeerProcess &Sender, const ChosenRequest &,
                          Instant) {
  if (NewestChosen)
    reply(Sender, *NewestChosen);
}

void RegisterNode::startRoundIfNeeded(Instant Now) {
  if (CurrentRound && CurrentRound->Phase == RoundPhase::Prepare)
    continueFirstPhase(Now);
  const bool NeedsRecovery = !Voting && isVoter(Voters, Self);
  const bool HasWork = !PendingOperations.empty() || NeedsRecovery;
  if (!CurrentRound && HasWork && Now >= NextRoundTime &&
      !Voters.Voters.empty())
    startRound(Now);
}

void RegisterNode::startRound(Instant Now) {
  CurrentRound.emplace();
  CurrentRound->RoundBallot = {++HighestRound, Proposer};
  CurrentRound->Started = Now;
  CurrentRound->LastSent = Now;
  CurrentRound->Recovering = !Voting && isVoter(Voters, Self);
  detail::addVoterSet(*CurrentRound, Voters);
  if (NewestChosen) {
    CurrentRound->KnownBallot = NewestChosen->ChosenBallot;
    CurrentRound->Newest = NewestChosen->ChosenBallot;
    CurrentRound->Value = NewestChosen->Value;
  } else {
    CurrentRound->Value.Voters = Voters;
  }
  continueFirstPhase(Now);
}

void RegisterNode::continueFirstPhase(Instant Now) {
  if (!CurrentRound->Recovering)
    CurrentRound->Operations.assign(PendingOperations.begin(),
                                    PendingOperations.end());
  sendPrepares();
  if (!detail::hasMajorityInAllSets(*CurrentRound, CurrentRound->Prepared))
    return;
  if (CurrentRound->Recovering)
    adoptRecoveredState(Now);
  else if (!detail::waitsForNewVoters(*CurrentRound))
    startAcceptPhase();
}

void RegisterNode::sendPrepares() {
  for (const std::string &Voter : detail::takeUncontacted(*CurrentRound))
    sendRequest(Voter);
}

void RegisterNode::sendRequest(const std::string &Voter) {
  // A VM that recovers must not count its own promise.
  if (CurrentRound->Recovering && Voter == Self)
    return;
  if (CurrentRound->Phase == RoundPhase::Prepare)
    send(Voter,
         PrepareRequest{CurrentRound->RoundBallot, CurrentRound->KnownBallot});
  else
    send(Voter, AcceptRequest{CurrentRound->RoundBallot, CurrentRound->Value});
}

void RegisterNode::resendRequests(Instant Now) {
  CurrentRound->LastSent = Now;
  for (const std::string &Voter : detail::unansweredVoters(*CurrentRound))
    sendRequest(Voter);
}

void RegisterNode::startAcceptPhase() {
  detail::applyOperations(*CurrentRound);
  CurrentRound->Phase = RoundPhase::Accept;
  detail::takeUncontacted(*CurrentRound);
  for (const std::string &Voter : CurrentRound->Contacted)
    sendRequest(Voter);
}

void RegisterNode::adoptRecoveredState(Instant Now) {
  State.Promised = CurrentRound->RoundBallot;
  State.Accepted = CurrentRound->Newest;
  State.Value = CurrentRound->Value;
  State.ChosenVoters = Voters;
  Voting = true;
  store();
  AcceptedStore = LastStore;
  reportRound(*CurrentRound, RoundOutcome::Decided, Now);
  CurrentRound.reset();
  startRoundIfNeeded(Now);
}

void RegisterNode::finishRound(Instant Now) {
  const Round Finished = std::move(*CurrentRound);
  CurrentRound.reset();
  reportRound(Finished, RoundOutcome::Decided, Now);
  std::erase_if(PendingOperations, [&Finished](const Operation &Op) {
    return std::ranges::any_of(Finished.Operations,
                               [&Op](const Operation &FinishedOp) {
                                 return FinishedOp.Number == Op.Number;
                               });
  });
  const ChosenValue Chosen{Finished.RoundBallot, Finished.Value};
  learn(Chosen, Now);
  for (const std::string &Voter : Finished.Contacted)
    if (Voter != Self)
      send(Voter, Chosen);
  for (const Operation &Op : Finished.Operations)
    endOperation(Op, OperationOutcome::Decided);
  startRoundIfNeeded(Now);
}

void RegisterNode::abandonRound(Instant Now, RoundOutcome Outcome) {
  reportRound(*CurrentRound, Outcome, Now);
  std::uniform_int_distribution<int64_t> Distribution(
      0, longestPause(*CurrentRound, Outcome, Now).count());
  NextRoundTime = Now + Duration(Distribution(Rng));
  CurrentRound.reset();
  if (Outcome == RoundOutcome::TimedOut)
    RoundTimeout.grow();
}

Duration RegisterNode::longestPause(const Round &Lost, RoundOutcome Outcome,
                                    Instant Now) const {
  if (Outcome == RoundOutcome::TimedOut)
    return Limits.RetryPause;
  // A VM that was paused must not wait for the time of its pause.
  return std::clamp(Now - Lost.Started, Limits.RetryPause,
                    Limits.FirstRoundTimeout);
}

void RegisterNode::reportRound(const Round &EndedRound, RoundOutcome Outcome,
                               Instant Now) {
  const Duration Elapsed = Now - EndedRound.Started;
  // Rounds on slow disks keep the longer timeout.
  if (Outcome == RoundOutcome::Decided && Elapsed < Limits.FirstRoundTimeout)
    RoundTimeout.reset();
  Effects.emplace_back(RoundEnded{Outcome, Elapsed});
}

void RegisterNode::learn(const ChosenValue &Chosen, Instant Now) {
  HighestRound = std::max(HighestRound, Chosen.ChosenBallot.Round);
  if (NewestChosen && NewestChosen->ChosenBallot >= Chosen.ChosenBallot)
    return;
  NewestChosen = Chosen;
  if (Chosen.Value.Voters.Epoch >= Voters.Epoch)
    Voters = Chosen.Value.Voters;
  if (Voting) {
    const AcceptorState Previous = State;
    State.ChosenVoters = Voters;
    if (State.Accepted == Chosen.ChosenBallot)
      State.Chosen = Chosen.ChosenBallot;
    if (State != Previous)
      store();
  }
  Effects.emplace_back(ValueChosen{Chosen.Value});
  restartReads(Now);
}

void RegisterNode::endOperation(const Operation &EndedOperation,
                                OperationOutcome Outcome) {
  if (EndedOperation.Voters)
    return;
  VersionedDocument Newest;
  if (NewestChosen && Outcome == OperationOutcome::Decided)
    Newest = NewestChosen->Value.Document;
  Effects.emplace_back(
      OperationEnded{EndedOperation.Number, Outcome, std::move(Newest)});
}

void RegisterNode::expireOperations(Instant Now) {
  const auto Expired = [Now](const Operation &Op) {
    return Now >= Op.Deadline;
  };
  for (const Operation &Op : PendingOperations)
    if (Expired(Op))
      endOperation(Op, OperationOutcome::Unavailable);
  std::erase_if(PendingOperations, Expired);
  for (const auto &[Number, Read] : PendingReads)
    if (Expired(Read.ReadOperation))
      endOperation(Read.ReadOperation, OperationOutcome::Unavailable);
  std::erase_if(PendingReads, [&](const auto &Entry) {
    return Expired(Entry.second.ReadOperation);
  });
}

} // namespace sapphiremoor
