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
    : Self(Start.Self), Limits(Limits), Rng(Seed) {
  if (Start.Stored) {
    State = *Start.Stored;
    Voting = true;
    Voters = State.Value.Voters;
    HighestRound = State.Promised.Round;
    // The marker may be behind the accepted value, which then is not known to
    // be chosen.
    if (State.Chosen == State.Accepted && State.Accepted != Ballot{})
      Known = ChosenValue{State.Accepted, State.Value};
    return;
  }
  if (!Start.FirstVoters)
    return;
  Voters = *Start.FirstVoters;
  Voting = isVoter(Voters, Self);
  if (!Voting)
    return;
  State.Value.Voters = Voters;
  // A restart must not take this VM for one that lost its disk.
  store();
}

uint64_t RegisterNode::put(const VersionedDocument &Document, Instant Now) {
  const uint64_t Number = NextOperation++;
  const Operation Added{Number, Document, {}, Now + Limits.OperationTimeout};
  if (Known && Known->Value.Document.Version >= Document.Version) {
    endOperation(Added, OperationOutcome::Decided);
    return Number;
  }
  Waiting.push_back(Added);
  tryStart(Now);
  return Number;
}

uint64_t RegisterNode::read(Instant Now) {
  const uint64_t Number = NextOperation++;
  Reading Started{{Number, {}, {}, Now + Limits.OperationTimeout}, {}};
  Readings.emplace(Number, std::move(Started));
  const std::vector<std::string> Asked = Voters.Voters;
  for (const std::string &Voter : Asked)
    send(Voter, ReadRequest{Number});
  return Number;
}

void RegisterNode::changeVoters(const VoterSet &Next, Instant Now) {
  if (Next.Epoch != Voters.Epoch + 1)
    return;
  Waiting.push_back({NextOperation++, {}, Next, Now + Limits.OperationTimeout});
  tryStart(Now);
}

void RegisterNode::received(const std::string &From,
                            const RegisterMessage &Message, Instant Now) {
  std::visit([&](const auto &Each) { handle(From, Each, Now); }, Message);
}

void RegisterNode::stored(uint64_t Number) {
  LastDurable = std::max(LastDurable, Number);
  const auto End = AfterStore.upper_bound(Number);
  for (auto Each = AfterStore.begin(); Each != End; ++Each)
    Effects.emplace_back(Each->second);
  AfterStore.erase(AfterStore.begin(), End);
}

void RegisterNode::tick(Instant Now) {
  expireOperations(Now);
  if (Current && Now - Current->Started > Limits.RoundTimeout)
    abandonRound(Now, Limits.RetryPause);
  tryStart(Now);
}

std::vector<RegisterEffect> RegisterNode::takeEffects() {
  return std::exchange(Effects, {});
}

void RegisterNode::send(const std::string &To, RegisterMessage Message) {
  Effects.emplace_back(SendToVoter{To, std::move(Message)});
}

void RegisterNode::store() {
  Effects.emplace_back(StoreState{++LastStore, State});
}

void RegisterNode::sendDurable(const std::string &To, RegisterMessage Message) {
  if (LastStore == LastDurable)
    send(To, std::move(Message));
  else
    AfterStore.emplace(LastStore, SendToVoter{To, std::move(Message)});
}

void RegisterNode::handle(const std::string &From,
                          const PrepareRequest &Request, Instant) {
  if (!Voting)
    return;
  HighestRound = std::max(HighestRound, Request.Of.Round);
  const Ballot Before = State.Promised;
  const PrepareReply Reply = detail::prepare(State, Request);
  if (State.Promised != Before)
    store();
  sendDurable(From, Reply);
}

void RegisterNode::handle(const std::string &From, const PrepareReply &Reply,
                          Instant Now) {
  HighestRound = std::max(HighestRound, Reply.Promised.Round);
  if (!Current || Reply.Of != Current->Of)
    return;
  if (Reply.Promised > Current->Of) {
    abandonRound(Now, Limits.RetryPause);
    return;
  }
  if (!detail::recordPromise(*Current, From, Reply))
    return;
  askUnasked();
  if (!detail::majorityOfAll(*Current, Current->Prepared))
    return;
  if (Current->Recovering)
    adoptRecovered(Now);
  else
    enterAccept();
}

void RegisterNode::handle(const std::string &From, const AcceptRequest &Request,
                          Instant) {
  if (!Voting)
    return;
  HighestRound = std::max(HighestRound, Request.Of.Round);
  const Ballot Before = State.Accepted;
  const AcceptReply Reply = detail::accept(State, Request);
  if (State.Accepted != Before)
    store();
  sendDurable(From, Reply);
}

void RegisterNode::handle(const std::string &From, const AcceptReply &Reply,
                          Instant Now) {
  HighestRound = std::max(HighestRound, Reply.Promised.Round);
  if (!Current || Reply.Of != Current->Of ||
      Current->Phase != RoundPhase::Accept)
    return;
  if (Reply.Promised != Current->Of) {
    abandonRound(Now, Limits.RetryPause);
    return;
  }
  Current->Accepted.insert(From);
  if (detail::majorityOfAll(*Current, Current->Accepted))
    finishRound(Now);
}

void RegisterNode::handle(const std::string &From, const ReadRequest &Request,
                          Instant) {
  if (Voting)
    sendDurable(From, ReadReply{Request.Number, State.Accepted});
}

void RegisterNode::handle(const std::string &From, const ReadReply &Reply,
                          Instant Now) {
  const auto Found = Readings.find(Reply.Number);
  if (Found == Readings.end())
    return;
  Reading &Of = Found->second;
  Of.Answers[From] = Reply.Accepted;
  std::set<std::string> Answered;
  std::ranges::transform(Of.Answers, std::inserter(Answered, Answered.end()),
                         [](const auto &Each) { return Each.first; });
  if (!isMajority(Voters, Answered))
    return;
  const bool Same = std::ranges::all_of(Of.Answers, [this](const auto &Each) {
    return Known && Each.second == Known->Of;
  });
  const Operation Done = Of.Of;
  Readings.erase(Found);
  if (Same) {
    endOperation(Done, OperationOutcome::Decided);
    return;
  }
  // Some voter holds a value that is not known to be chosen: a whole round
  // settles it.
  Waiting.push_back(Done);
  tryStart(Now);
}

void RegisterNode::handle(const std::string &, const ChosenValue &Value,
                          Instant) {
  learn(Value);
}

void RegisterNode::handle(const std::string &From, const ChosenRequest &,
                          Instant) {
  if (Known)
    send(From, *Known);
}

void RegisterNode::tryStart(Instant Now) {
  const bool Recover = !Voting && isVoter(Voters, Self);
  const bool Work = !Waiting.empty() || Recover;
  if (!Current && Work && Now >= NextRound && !Voters.Voters.empty())
    startRound(Now);
}

void RegisterNode::startRound(Instant Now) {
  Current.emplace();
  Current->Of = {++HighestRound, Self};
  Current->Started = Now;
  Current->Recovering = !Voting && isVoter(Voters, Self);
  if (Current->Recovering)
    Current->Asked.insert(Self);
  else
    Current->Operations.assign(Waiting.begin(), Waiting.end());
  detail::addSet(*Current, Voters);
  if (Known) {
    Current->Newest = Known->Of;
    Current->Value = Known->Value;
  } else {
    Current->Value.Voters = Voters;
  }
  askUnasked();
}

void RegisterNode::askUnasked() {
  const Ballot Held = Known ? Known->Of : Ballot{};
  for (const std::string &Voter : detail::takeUnasked(*Current))
    send(Voter, PrepareRequest{Current->Of, Held});
}

void RegisterNode::enterAccept() {
  detail::applyOperations(*Current);
  Current->Phase = RoundPhase::Accept;
  detail::takeUnasked(*Current);
  for (const std::string &Voter : Current->Asked)
    send(Voter, AcceptRequest{Current->Of, Current->Value});
}

void RegisterNode::adoptRecovered(Instant Now) {
  State.Promised = Current->Of;
  State.Accepted = Current->Newest;
  State.Value = Current->Value;
  Voting = true;
  store();
  Current.reset();
  tryStart(Now);
}

void RegisterNode::finishRound(Instant Now) {
  const Round Done = std::move(*Current);
  Current.reset();
  std::erase_if(Waiting, [&Done](const Operation &Each) {
    return std::ranges::any_of(Done.Operations, [&Each](const Operation &Of) {
      return Of.Number == Each.Number;
    });
  });
  const ChosenValue Value{Done.Of, Done.Value};
  learn(Value);
  for (const std::string &Voter : Done.Asked)
    if (Voter != Self)
      send(Voter, Value);
  for (const Operation &Each : Done.Operations)
    endOperation(Each, OperationOutcome::Decided);
  tryStart(Now);
}

void RegisterNode::abandonRound(Instant Now, Duration Pause) {
  Current.reset();
  std::uniform_int_distribution<int64_t> Draw(0, Pause.count());
  NextRound = Now + Duration(Draw(Rng));
}

void RegisterNode::learn(const ChosenValue &Value) {
  HighestRound = std::max(HighestRound, Value.Of.Round);
  if (Known && Known->Of >= Value.Of)
    return;
  Known = Value;
  if (Value.Value.Voters.Epoch >= Voters.Epoch)
    Voters = Value.Value.Voters;
  if (Voting && State.Accepted == Value.Of) {
    State.Chosen = Value.Of;
    store();
  }
  Effects.emplace_back(ValueChosen{Value.Value});
}

void RegisterNode::endOperation(const Operation &Of, OperationOutcome Outcome) {
  if (Of.Voters)
    return;
  VersionedDocument Newest;
  if (Known && Outcome == OperationOutcome::Decided)
    Newest = Known->Value.Document;
  Effects.emplace_back(OperationEnded{Of.Number, Outcome, std::move(Newest)});
}

void RegisterNode::expireOperations(Instant Now) {
  const auto Expired = [Now](const Operation &Each) {
    return Now >= Each.Deadline;
  };
  for (const Operation &Each : Waiting)
    if (Expired(Each))
      endOperation(Each, OperationOutcome::Unavailable);
  std::erase_if(Waiting, Expired);
  for (const auto &[Number, Each] : Readings)
    if (Expired(Each.Of))
      endOperation(Each.Of, OperationOutcome::Unavailable);
  std::erase_if(Readings, [&](const auto &Each) {
    return Expired(Each.second.ReadOperation);
  });
}

} // namespace sapphiremoor
