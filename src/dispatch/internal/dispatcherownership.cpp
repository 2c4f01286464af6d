#include "dispatch/dispatcher.h"
#include "dispatch/fencingtoken.h"

#include <algorithm>

namespace sapphiremoor {

using detail::OwnershipMode;
using detail::RunPhase;

namespace {

/// Maximum number of times that a takeover raises the term of its token. Each
/// refusal in a row doubles the step, so that a former owner whose term is far
/// ahead is overtaken within a few round trips.
constexpr int MaxTokenRaises = 16;

/// A takeover of a backend server that does not answer is abandoned after this
/// time. One that succeeded late, after a partition has healed, could fence an
/// owner that kept working.
constexpr Duration AcquireTimeout = std::chrono::milliseconds(800);

/// Time for which an unresolved start to an earlier incarnation is kept while
/// the new incarnation does not answer.
constexpr Duration UnresolvedTimeout = std::chrono::seconds(3);

/// Age above which an answered probe no longer shows that the backend server is
/// reachable.
constexpr Duration ProbeValidity = std::chrono::milliseconds(1200);

} // namespace

uint64_t Dispatcher::nextToken(const BackendState &Backend,
                               uint64_t Term) const {
  const uint64_t LowestTerm =
      Backend.Token == 0 ? 0 : fencingTerm(Backend.Token) + 1;
  return makeFencingToken(Issuer, std::max(Term, LowestTerm));
}

bool Dispatcher::handleReport(const BackendReport &Report, Instant Now) {
  const auto BackendIt = Backends.find(Report.Id);
  if (BackendIt == Backends.end()) {
    BackendState NewBackend;
    NewBackend.Report = Report;
    NewBackend.Incarnation = NextIncarnation++;
    NewBackend.Life = NextLife++;
    if (const auto It = RemovedBackends.find(Report.Id);
        It != RemovedBackends.end())
      NewBackend.Token = It->second.Token;
    Backends.emplace(Report.Id, std::move(NewBackend));
    return true;
  }
  BackendState &Backend = BackendIt->second;
  if (!isNewReport(Report))
    return false;
  const bool Restarted = Backend.Report.StartTimeMs != Report.StartTimeMs;
  const bool Changed = Restarted ||
                       Backend.Report.Draining != Report.Draining ||
                       Backend.Report.Address != Report.Address;
  Backend.Report = Report;
  Backend.ReportOutdated = false;
  if (Restarted)
    handleRestart(Backend, Now);
  return Changed;
}

bool Dispatcher::isNewReport(const BackendReport &Report) const {
  const auto BackendIt = Backends.find(Report.Id);
  return BackendIt == Backends.end() ||
         isOlder(BackendIt->second.Report, Report);
}

void Dispatcher::removeBackend(const std::string &Id, Instant Now) {
  const auto BackendIt = Backends.find(Id);
  if (BackendIt == Backends.end())
    return;
  BackendState &Backend = BackendIt->second;
  // Its runs may go on until their lease expires.
  if (!Backend.Runs.empty() && !Backend.Clock.expired(Now)) {
    Backend.Report.Draining = true;
    return;
  }
  dropAllRuns(Backend, LateOrders::Possible);
  RemovedBackends[Id] = {Backend.Token, Now};
  Backends.erase(BackendIt);
  schedule(Now);
}

void Dispatcher::acquire(const std::string &Id, uint64_t Term, Instant Now) {
  const auto BackendIt = Backends.find(Id);
  if (BackendIt == Backends.end())
    return;
  BackendState &Backend = BackendIt->second;
  Backend.Releasing = false;
  if (Backend.Mode != OwnershipMode::NotOwned &&
      Backend.Mode != OwnershipMode::Probing)
    return;
  Backend.Mode = OwnershipMode::Acquiring;
  Backend.LifeConfirmed = false;
  Backend.AcquireStartedAt = Now;
  Backend.Token = nextToken(Backend, Term);
  Backend.TokenRaises = 0;
  Backend.RaisesInRow = 0;
  Backend.Suspect = false;
  Backend.Incarnation = NextIncarnation++;
  Backend.PollInFlight = false;
  sendPoll(Backend, Now);
}

void Dispatcher::probe(const std::string &Id, Instant Now) {
  const auto BackendIt = Backends.find(Id);
  if (BackendIt == Backends.end() ||
      BackendIt->second.Mode != OwnershipMode::NotOwned)
    return;
  BackendState &Backend = BackendIt->second;
  Backend.Mode = OwnershipMode::Probing;
  Backend.Incarnation = NextIncarnation++;
  Backend.PollInFlight = false;
  sendPoll(Backend, Now);
}

Duration Dispatcher::reachableFor(const std::string &Id, Instant Now) const {
  const auto BackendIt = Backends.find(Id);
  if (BackendIt == Backends.end() || !BackendIt->second.ReachableSince ||
      Now - BackendIt->second.LastReachedAt > ProbeValidity)
    return Duration::zero();
  return Now - *BackendIt->second.ReachableSince;
}

void Dispatcher::recordProbeAnswer(BackendState &Backend, Instant Now) {
  Backend.Mode = OwnershipMode::NotOwned;
  if (!Backend.ReachableSince || Now - Backend.LastReachedAt > ProbeValidity)
    Backend.ReachableSince = Now;
  Backend.LastReachedAt = Now;
}

void Dispatcher::release(const std::string &Id, Instant) {
  const auto BackendIt = Backends.find(Id);
  if (!mayHoldRuns(Id))
    return;
  BackendIt->second.Releasing = true;
  if (BackendIt->second.Runs.empty())
    relinquish(BackendIt->second, "released");
}

void Dispatcher::moveStoredRuns(const std::string &Id, Instant Now) {
  if (!owns(Id))
    return;
  BackendState &Backend = Backends.at(Id);
  for (auto &[Task, Run] : Backend.Runs) {
    if (!Run.Stored || Run.Phase == RunPhase::Stopping ||
        !canRunElsewhere(Task, Id))
      continue;
    log(Backend, Task, Run.Number, "moved");
    sendStop(Backend, Task, Run, Now);
  }
}

bool Dispatcher::canRunElsewhere(const TaskId &Task,
                                 const std::string &BackendId) const {
  const auto JobIt = Jobs.find(Task.Job);
  if (JobIt == Jobs.end())
    return false;
  const JobSubmission &Request = JobIt->second.Request;
  return std::ranges::any_of(Backends, [&](const auto &Entry) {
    const BackendState &Backend = Entry.second;
    return Entry.first != BackendId && Backend.Mode == OwnershipMode::Owned &&
           !Backend.Releasing && !Backend.Report.Draining &&
           detail::canRun(Backend.Report, Request.Policy.Service,
                          Request.Steps[Task.Step]);
  });
}

void Dispatcher::keep(const std::string &Id) {
  const auto BackendIt = Backends.find(Id);
  if (BackendIt != Backends.end())
    BackendIt->second.Releasing = false;
}

void Dispatcher::distrustBackends(Instant Now) {
  for (auto &[Id, Backend] : Backends) {
    if (Backend.Mode != OwnershipMode::Owned)
      continue;
    Backend.Suspect = true;
    Backend.SuspectedAt = Now;
    Backend.NextPollAt = Now;
  }
}

bool Dispatcher::owns(const std::string &Id) const {
  const auto BackendIt = Backends.find(Id);
  return BackendIt != Backends.end() &&
         BackendIt->second.Mode == OwnershipMode::Owned;
}

std::vector<std::string> Dispatcher::ownedBackends() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Backend] : Backends)
    if (Backend.Mode == OwnershipMode::Owned)
      Ids.push_back(Id);
  return Ids;
}

std::vector<std::string> Dispatcher::claimedBackends() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Backend] : Backends)
    if (Backend.Mode == OwnershipMode::Owned ||
        Backend.Mode == OwnershipMode::Acquiring)
      Ids.push_back(Id);
  return Ids;
}

bool Dispatcher::mayHoldRuns(const std::string &Id) const {
  const auto BackendIt = Backends.find(Id);
  return BackendIt != Backends.end() &&
         BackendIt->second.Mode != OwnershipMode::NotOwned &&
         BackendIt->second.Mode != OwnershipMode::Probing;
}

void Dispatcher::completeAcquire(BackendState &Backend) {
  // From now on the backend server refuses orders with the former token, so
  // unresolved starts can no longer take effect.
  dropAllRuns(Backend, LateOrders::Excluded);
  std::erase_if(UnresolvedStarts, [&Backend](const auto &Entry) {
    return Entry.second.BackendId == Backend.Report.Id;
  });
  Backend.Mode = OwnershipMode::Owned;
  emitOwnership(Backend, true, "acquired");
}

void Dispatcher::emitOwnership(const BackendState &Backend, bool Owned,
                               const std::string &Reason) {
  Effects.emplace_back(
      OwnershipChanged{Backend.Report.Id, Owned, Reason, Backend.assumption()});
}

void Dispatcher::handleFenced(BackendState &Backend,
                              const ControlTarget &Refused, Instant Now) {
  if (Refused.FencingToken != Backend.Token) {
    sendPoll(Backend, Now);
    return;
  }
  if (Backend.Mode == OwnershipMode::Acquiring &&
      Backend.TokenRaises < MaxTokenRaises) {
    ++Backend.TokenRaises;
    const uint64_t Step = uint64_t{1} << Backend.RaisesInRow++;
    Backend.Token = makeFencingToken(Issuer, fencingTerm(Backend.Token) + Step);
    sendPoll(Backend, Now);
    return;
  }
  if (Backend.Mode != OwnershipMode::Acquiring &&
      Backend.Mode != OwnershipMode::Owned)
    return;
  Backend.Mode =
      Backend.Runs.empty() ? OwnershipMode::NotOwned : OwnershipMode::Lost;
  emitOwnership(Backend, false, "fenced");
}

void Dispatcher::reacquire(BackendState &Backend, Instant Now) {
  Backend.Mode = OwnershipMode::Acquiring;
  Backend.LifeConfirmed = false;
  Backend.AcquireStartedAt = Now;
  Backend.Token = nextToken(Backend, 0);
  Backend.TokenRaises = 0;
  Backend.RaisesInRow = 0;
  Backend.Incarnation = NextIncarnation++;
  Backend.PollInFlight = false;
  sendPoll(Backend, Now);
}

void Dispatcher::handleRestart(BackendState &Backend, Instant Now) {
  // The new incarnation may have carried out a start that no list has shown
  // yet, or may still carry out an unanswered one. Keep such runs until a
  // higher token rules that out.
  std::vector<TaskId> EndedTasks;
  for (const auto &[Task, Run] : Backend.Runs)
    if (Run.Listed && !Run.MaybeDelivered)
      EndedTasks.push_back(Task);
  for (const TaskId &Task : EndedTasks)
    dropRun(Backend, Task, LateOrders::Excluded);
  Backend.Clock = {};
  Backend.Health = {};
  Backend.Slowdown = 1;
  Backend.Incarnation = NextIncarnation++;
  Backend.Life = NextLife++;
  Backend.Ends = {};
  Backend.PollInFlight = false;
  if (Backend.Mode == OwnershipMode::Owned ||
      Backend.Mode == OwnershipMode::Acquiring)
    reacquire(Backend, Now);
  schedule(Now);
}

void Dispatcher::relinquish(BackendState &Backend, const std::string &Reason) {
  Backend.Releasing = false;
  if (Backend.Mode == OwnershipMode::NotOwned ||
      Backend.Mode == OwnershipMode::Probing)
    return;
  Backend.Mode =
      Backend.Runs.empty() ? OwnershipMode::NotOwned : OwnershipMode::Lost;
  emitOwnership(Backend, false, Reason);
}

void Dispatcher::resendStops(BackendState &Backend, Instant Now) {
  for (auto &[Task, Run] : Backend.Runs)
    if (Run.Phase == RunPhase::Stopping &&
        Now - Run.StopSentAt >= Limits.StopRetryDelay)
      sendStop(Backend, Task, Run, Now);
}

void Dispatcher::tickBackend(BackendState &Backend, Instant Now) {
  switch (Backend.Mode) {
  case OwnershipMode::NotOwned:
  case OwnershipMode::Probing:
    return;
  case OwnershipMode::Lost:
    if (!Backend.Clock.expired(Now))
      return;
    dropAllRuns(Backend, LateOrders::Possible);
    Backend.Mode = OwnershipMode::NotOwned;
    return;
  case OwnershipMode::Acquiring:
    if (!Backend.Suspect ||
        Now - Backend.AcquireStartedAt <
            (Backend.Runs.empty() ? AcquireTimeout : UnresolvedTimeout))
      break;
    dropAllRuns(Backend, LateOrders::Possible);
    relinquish(Backend, "unreachable");
    return;
  case OwnershipMode::Owned:
    if (Backend.Suspect && !Backend.Runs.empty() &&
        Backend.Clock.expired(Now)) {
      dropAllRuns(Backend, LateOrders::Possible);
      reacquire(Backend, Now);
      return;
    }
    resendStops(Backend, Now);
    acknowledgeSupersededEnds(Backend, Now);
    break;
  }
  if (!Backend.PollInFlight && Now >= Backend.NextPollAt)
    sendPoll(Backend, Now);
}

} // namespace sapphiremoor
