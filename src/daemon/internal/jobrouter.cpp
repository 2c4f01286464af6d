#include "daemon/jobrouter.h"

#include "daemon/internal/answers.h"
#include "gateway/jobparser.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// Maximum number of times that a request is forwarded or sent again. More hops
/// mean that the views of the VMs differ for longer than a caller should wait.
constexpr int MaxHops = 4;

/// Time after a job's deadline at which its executor counts as unresponsive.
constexpr Duration AnswerGracePeriod = std::chrono::seconds(5);

/// Time limit for a request that waits for a job or cancels it, as the deadline
/// of the job is not known.
constexpr Duration AttachTimeout = std::chrono::minutes(10);

constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);

} // namespace

JobRouter::JobRouter(EventLoop &Loop, const VmId &Self, PeerBus &Bus,
                     MembershipService &Membership, ClaimService &Claims,
                     JobExecutor &Executor, KeyCodec &Keys)
    : Loop(Loop), Self(Self), Bus(Bus), Membership(Membership), Claims(Claims),
      Executor(Executor), Keys(Keys),
      ExpiryTimer(Loop, [this] { expireForwards(); }) {}

void JobRouter::start() {
  Claims.start([this](const ClaimEffect &Effect) {
    std::visit([this](const auto &Alternative) { onEffect(Alternative); },
               Effect);
  });
  Bus.onMessage<ForwardJob>(
      [this](const VmId &Sender, const ForwardJob &Message) {
        execute(Message.Key, Message.Job, Message.Hold,
                makeReplyHandler(Sender, Message.Request));
      });
  Bus.onMessage<RunRequest>(
      [this](const VmId &Sender, const RunRequest &Message) {
        runLocally(Message.Job, makeReplyHandler(Sender, Message.Request));
      });
  Bus.onMessage<AttachJob>(
      [this](const VmId &Sender, const AttachJob &Message) {
        attachLocally(Message.Key, Message.Cancel,
                      makeReplyHandler(Sender, Message.Request));
      });
  Bus.onMessage<JobReply>(
      [this](const VmId &, const JobReply &Message) { handleReply(Message); });
  Bus.onMessage<PrefixRequest>([this](const VmId &Sender,
                                      const PrefixRequest &Message) {
    Bus.send(Sender, PrefixReply{Message.Request, Claims.issue(Message.Team)});
  });
  Bus.onMessage<PrefixReply>([this](const VmId &, const PrefixReply &Message) {
    auto Extracted = PrefixWaits.extract(Message.Request);
    if (!Extracted.empty())
      Extracted.mapped().Handler(Message.IssuedPrefix);
  });
  // Registered after the claim service's handler, which must process the loss
  // of the peer first.
  Bus.onPeerDown([this](const VmId &Peer) { handlePeerDown(Peer); });
  ExpiryTimer.startPeriodic(ExpiryPeriod);
}

void JobRouter::submit(const JobKey &Key, const JobRequest &Job,
                       const JobReplyHandler &Handler) {
  routeSubmit(Key, Job, 0, makeWaitDeadline(Duration(Job.DeadlineMicros)),
              Handler);
}

void JobRouter::run(const JobRequest &Job, const JobReplyHandler &Handler) {
  routeRun(Job, 0, makeWaitDeadline(Duration(Job.DeadlineMicros)), Handler);
}

void JobRouter::attach(const JobKey &Key, bool Cancel,
                       JobReplyHandler Handler) {
  search(Key, {Cancel, std::nullopt, 0, makeWaitDeadline(AttachTimeout),
               std::move(Handler)});
}

void JobRouter::issuePrefix(const std::string &Team,
                            std::function<void(const Prefix &)> Handler) {
  const VmId Target = Membership.dispatcher();
  const RequestNumber Request = ++LastRequest;
  if (Target == Self || !Bus.send(Target, PrefixRequest{Request, Team})) {
    Handler(Claims.issue(Team));
    return;
  }
  PrefixWaits.emplace(Request, PrefixWait{Team, Target, std::move(Handler)});
}

std::size_t JobRouter::openRequests() const {
  return Forwards.size() + Searches.size() + LocalJobs.size() +
         PrefixWaits.size() + Executor.openJobs();
}

Instant JobRouter::makeWaitDeadline(Duration Deadline) const {
  return Loop.now() + Deadline + AnswerGracePeriod;
}

VmId JobRouter::chooseExecutor(const JobRequest &Job) const {
  const VmId LocalDispatcher = Membership.dispatcher();
  std::optional<Duration> LocalWait;
  if (LocalDispatcher == Self) {
    LocalWait = Executor.estimateWait(Job.Service);
  } else {
    const auto &Loads =
        Membership.state().Peers.at(LocalDispatcher.Name).LastHeartbeat.Loads;
    const auto LoadIt =
        std::ranges::find(Loads, Job.Service, &ServiceLoad::Service);
    if (LoadIt != Loads.end())
      LocalWait = Duration(LoadIt->WaitMicros);
  }
  return Membership
      .findDispatcher(Membership.selectDataCentre(Job.Service, LocalWait))
      .value_or(LocalDispatcher);
}

void JobRouter::routeSubmit(const JobKey &Key, const JobRequest &Job, int Hops,
                            Instant WaitDeadline,
                            const JobReplyHandler &Handler) {
  if (Hops > MaxHops) {
    Handler(unknownAnswer("no_dispatcher_answers"));
    return;
  }
  const VmId Target = chooseExecutor(Job);
  if (Target == Self) {
    execute(Key, Job, std::nullopt,
            followRedirects(Key, Hops, WaitDeadline, Handler));
    return;
  }
  const ClaimId Id{Key, bodyDigest(Job)};
  const ForwardResult ForwardOutcome = Claims.forward(Key, *Id.Digest, Target);
  if (!ForwardOutcome.Effect) {
    forward({Target, Key, Job, false, Hops, WaitDeadline, Handler},
            ForwardOutcome.Grant);
    return;
  }
  // The executor or the outcome is known here, so the effect is handled like
  // that of a claim.
  LocalJob &Entry = LocalJobs[Id];
  Entry.Job = Job;
  Entry.Waiters.push_back(followRedirects(Key, Hops, WaitDeadline, Handler));
  std::visit([this](const auto &Alternative) { onEffect(Alternative); },
             *ForwardOutcome.Effect);
}

void JobRouter::routeRun(const JobRequest &Job, int Hops, Instant WaitDeadline,
                         const JobReplyHandler &Handler) {
  if (Hops > MaxHops) {
    Handler(unknownAnswer("no_dispatcher_answers"));
    return;
  }
  const VmId Target = chooseExecutor(Job);
  if (Target == Self)
    runLocally(Job, Handler);
  else
    forward({Target, std::nullopt, Job, false, Hops, WaitDeadline, Handler},
            std::nullopt);
}

void JobRouter::runLocally(const JobRequest &Job,
                           const JobReplyHandler &Handler) {
  const Result<Done> Admitted = Executor.admitJob(Job);
  if (isError(Admitted)) {
    Handler(refusedAnswer(errorOf(Admitted)));
    return;
  }
  Executor.start("idempotent", Job,
                 [Handler](const Answer &Result) { Handler(Result); });
}

void JobRouter::forward(Forward PendingForward,
                        const std::optional<ProvisionalGrant> &Hold) {
  const RequestNumber Request = ++LastRequest;
  PeerMessage Message = AttachJob{Request, {}, PendingForward.Cancel};
  if (PendingForward.Key && PendingForward.Job)
    Message =
        ForwardJob{Request, *PendingForward.Key, *PendingForward.Job, Hold};
  else if (PendingForward.Job)
    Message = RunRequest{Request, *PendingForward.Job};
  else
    std::get<AttachJob>(Message).Key = *PendingForward.Key;
  if (Bus.send(PendingForward.Target, Message))
    Forwards.emplace(Request, std::move(PendingForward));
  else
    recoverForward(std::move(PendingForward));
}

void JobRouter::recoverForward(Forward LostForward) {
  if (!LostForward.Key) {
    routeRun(*LostForward.Job, LostForward.Hops + 1, LostForward.WaitDeadline,
             LostForward.Handler);
    return;
  }
  search(*LostForward.Key,
         {LostForward.Cancel, std::move(LostForward.Job), LostForward.Hops + 1,
          LostForward.WaitDeadline, std::move(LostForward.Handler)});
}

void JobRouter::execute(const JobKey &Key, const JobRequest &Job,
                        const std::optional<ProvisionalGrant> &Hold,
                        JobReplyHandler Handler) {
  const ClaimId Id{Key, bodyDigest(Job)};
  LocalJob &Entry = LocalJobs[Id];
  Entry.Waiters.push_back(std::move(Handler));
  if (Entry.Waiters.size() > 1 || Entry.RunNumber)
    return;
  Entry.Job = Job;
  const Result<Done> Admitted = Executor.admitJob(Job);
  // Resubmitting an answered job must return its answer even if no new job
  // would be admitted.
  if (isError(Admitted) && Claims.storedAnswer(Key) == nullptr) {
    Entry.Refusing = true;
    Claims.refuse(Key, errorOf(Admitted));
    return;
  }
  Claims.claim(Key, *Id.Digest, Hold);
}

void JobRouter::search(const JobKey &Key, Search PendingSearch) {
  if (PendingSearch.Hops > MaxHops) {
    PendingSearch.Handler(unknownAnswer("executor_unreachable"));
    return;
  }
  auto &KeySearches = Searches[Key];
  KeySearches.push_back(std::move(PendingSearch));
  if (KeySearches.size() == 1)
    Claims.find(Key);
}

void JobRouter::attachAtExecutor(const VmId &Target, const JobKey &Key,
                                 Search PendingSearch) {
  if (Target == Self) {
    attachLocally(Key, PendingSearch.Cancel, PendingSearch.Handler);
    return;
  }
  forward({Target, Key, std::nullopt, PendingSearch.Cancel, PendingSearch.Hops,
           PendingSearch.WaitDeadline, std::move(PendingSearch.Handler)},
          std::nullopt);
}

void JobRouter::attachLocally(const JobKey &Key, bool Cancel,
                              const JobReplyHandler &Handler) {
  const auto JobIt = LocalJobs.lower_bound({Key, std::nullopt});
  if (JobIt == LocalJobs.end() || JobIt->first.Key != Key) {
    const std::string *Stored = Claims.storedAnswer(Key);
    Handler(Stored == nullptr ? unknownAnswer("no_record")
                              : decodeAnswer(*Stored));
    return;
  }
  JobIt->second.Waiters.push_back(Handler);
  if (!Cancel)
    return;
  JobIt->second.Cancelled = true;
  if (JobIt->second.RunNumber)
    Executor.cancel(*JobIt->second.RunNumber);
}

JobReplyHandler JobRouter::followRedirects(const JobKey &Key, int Hops,
                                           Instant WaitDeadline,
                                           const JobReplyHandler &Handler) {
  return [this, Key, Hops, WaitDeadline, Handler](const JobReplyBody &Body) {
    const auto *RedirectReply = std::get_if<Redirect>(&Body);
    if (RedirectReply == nullptr)
      Handler(Body);
    else if (Hops >= MaxHops)
      Handler(unknownAnswer("executor_unreachable"));
    else
      attachAtExecutor(RedirectReply->Executor, Key,
                       {false, std::nullopt, Hops + 1, WaitDeadline, Handler});
  };
}

JobReplyHandler JobRouter::makeReplyHandler(const VmId &Target,
                                            RequestNumber Request) {
  return [this, Target, Request](const JobReplyBody &Body) {
    Bus.send(Target, JobReply{Request, Body});
  };
}

void JobRouter::handleReply(const JobReply &Reply) {
  auto Extracted = Forwards.extract(Reply.Request);
  if (Extracted.empty())
    return;
  Forward &PendingForward = Extracted.mapped();
  if (PendingForward.Key)
    followRedirects(*PendingForward.Key, PendingForward.Hops,
                    PendingForward.WaitDeadline,
                    PendingForward.Handler)(Reply.Body);
  else
    PendingForward.Handler(Reply.Body);
}

void JobRouter::handlePeerDown(const VmId &Peer) {
  std::vector<Forward> LostForwards;
  std::erase_if(Forwards, [&](auto &Entry) {
    if (Entry.second.Target != Peer)
      return false;
    LostForwards.push_back(std::move(Entry.second));
    return true;
  });
  for (Forward &LostForward : LostForwards)
    recoverForward(std::move(LostForward));
  std::vector<PrefixWait> LostPrefixWaits;
  std::erase_if(PrefixWaits, [&](auto &Entry) {
    if (Entry.second.Target != Peer)
      return false;
    LostPrefixWaits.push_back(std::move(Entry.second));
    return true;
  });
  for (const PrefixWait &LostWait : LostPrefixWaits)
    LostWait.Handler(Claims.issue(LostWait.Team));
}

void JobRouter::expireForwards() {
  const Instant Now = Loop.now();
  std::vector<JobReplyHandler> ExpiredHandlers;
  std::erase_if(Forwards, [&](auto &Entry) {
    if (Entry.second.WaitDeadline > Now)
      return false;
    ExpiredHandlers.push_back(std::move(Entry.second.Handler));
    return true;
  });
  for (const JobReplyHandler &Handler : ExpiredHandlers)
    Handler(unknownAnswer("executor_silent"));
}

} // namespace sapphiremoor
