#include "daemon/jobrouter.h"

#include "daemon/internal/answers.h"
#include "gateway/jobparser.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

/// A request is passed on or sent again at most this often; more hops mean that
/// the VMs' views differ for longer than a caller should wait.
constexpr int MaxHops = 4;

/// Time beyond a job's deadline after which its executor is taken for silent.
constexpr Duration AnswerSlack = std::chrono::seconds(5);

/// Time that a search or an attach may take when no deadline is known.
constexpr Duration AttachLimit = std::chrono::minutes(10);

constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);

} // namespace

JobRouter::JobRouter(EventLoop &Loop, const VmId &Self, PeerBus &Bus,
                     MembershipService &Membership, ClaimService &Claims,
                     JobExecutor &Executor, KeyCodec &Keys)
    : Loop(Loop), Self(Self), Bus(Bus), Membership(Membership), Claims(Claims),
      Executor(Executor), Keys(Keys), Expiry(Loop, [this] { expireWaits(); }) {}

void JobRouter::start() {
  Claims.start([this](const ClaimEffect &Effect) {
    std::visit([this](const auto &What) { onEffect(What); }, Effect);
  });
  Bus.on<ForwardJob>([this](const VmId &From, const ForwardJob &Message) {
    execute(Message.Key, Message.Job, Message.Hold,
            replyTo(From, Message.Request));
  });
  Bus.on<RunRequest>([this](const VmId &From, const RunRequest &Message) {
    runHere(Message.Job, replyTo(From, Message.Request));
  });
  Bus.on<AttachJob>([this](const VmId &From, const AttachJob &Message) {
    attachHere(Message.Key, Message.Cancel, replyTo(From, Message.Request));
  });
  Bus.on<JobReply>(
      [this](const VmId &, const JobReply &Message) { onReply(Message); });
  Bus.on<PrefixRequest>([this](const VmId &From, const PrefixRequest &Message) {
    Bus.send(From, PrefixReply{Message.Request, Claims.issue(Message.Team)});
  });
  Bus.on<PrefixReply>([this](const VmId &, const PrefixReply &Message) {
    auto Found = PrefixWaits.extract(Message.Request);
    if (!Found.empty())
      Found.mapped().Handler(Message.Issued);
  });
  // Registered after the handler of the claims, which must know first that the
  // peer is gone.
  Bus.onDown([this](const VmId &Peer) { onPeerDown(Peer); });
  Expiry.startPeriodic(ExpiryPeriod);
}

void JobRouter::submit(const JobKey &Key, const JobRequest &Job,
                       const JobReplyHandler &Handler) {
  submitAgain(Key, Job, 0, giveUpAfter(Duration(Job.DeadlineMicros)), Handler);
}

void JobRouter::run(const JobRequest &Job, const JobReplyHandler &Handler) {
  runAgain(Job, 0, giveUpAfter(Duration(Job.DeadlineMicros)), Handler);
}

void JobRouter::attach(const JobKey &Key, bool Cancel,
                       JobReplyHandler Handler) {
  search(Key, {Cancel, std::nullopt, 0, giveUpAfter(AttachLimit),
               std::move(Handler)});
}

void JobRouter::issuePrefix(const std::string &Team,
                            std::function<void(const Prefix &)> Handler) {
  const VmId To = Membership.dispatcher();
  const RequestNumber Request = ++LastRequest;
  if (To == Self || !Bus.send(To, PrefixRequest{Request, Team})) {
    Handler(Claims.issue(Team));
    return;
  }
  PrefixWaits.emplace(Request, PrefixWait{Team, To, std::move(Handler)});
}

std::size_t JobRouter::open() const {
  return Forwards.size() + Searches.size() + Tickets.size() +
         PrefixWaits.size() + Executor.openJobs();
}

Instant JobRouter::giveUpAfter(Duration Deadline) const {
  return Loop.now() + Deadline + AnswerSlack;
}

VmId JobRouter::executorFor(const JobRequest &Job) const {
  const VmId Local = Membership.dispatcher();
  std::optional<Duration> Wait;
  if (Local == Self) {
    Wait = Executor.wait(Job.Service);
  } else {
    const auto &Loads = Membership.state().Peers.at(Local.Name).Last.Loads;
    const auto Load =
        std::ranges::find(Loads, Job.Service, &ServiceLoad::Service);
    if (Load != Loads.end())
      Wait = Duration(Load->WaitMicros);
  }
  return Membership.dispatcherAt(Membership.placeFor(Job.Service, Wait))
      .value_or(Local);
}

void JobRouter::submitAgain(const JobKey &Key, const JobRequest &Job, int Hops,
                            Instant GiveUp, const JobReplyHandler &Handler) {
  if (Hops > MaxHops) {
    Handler(unknownAnswer("no_dispatcher_answers"));
    return;
  }
  const VmId To = executorFor(Job);
  if (To == Self) {
    execute(Key, Job, std::nullopt, following(Key, Hops, GiveUp, Handler));
    return;
  }
  const ClaimId Id{Key, bodyDigest(Job)};
  const ForwardResult Decided = Claims.forward(Key, *Id.Digest, To);
  if (!Decided.Known) {
    forward({To, Key, Job, false, Hops, GiveUp, Handler}, Decided.Hold);
    return;
  }
  // Known here already: the ticket takes the effect like that of a claim.
  Ticket &Entry = Tickets[Id];
  Entry.Job = Job;
  Entry.Waiting.push_back(following(Key, Hops, GiveUp, Handler));
  std::visit([this](const auto &What) { onEffect(What); }, *Decided.Known);
}

void JobRouter::runAgain(const JobRequest &Job, int Hops, Instant GiveUp,
                         const JobReplyHandler &Handler) {
  if (Hops > MaxHops) {
    Handler(unknownAnswer("no_dispatcher_answers"));
    return;
  }
  const VmId To = executorFor(Job);
  if (To == Self)
    runHere(Job, Handler);
  else
    forward({To, std::nullopt, Job, false, Hops, GiveUp, Handler},
            std::nullopt);
}

void JobRouter::runHere(const JobRequest &Job, const JobReplyHandler &Handler) {
  const Result<Done> Admitted = Executor.admitJob(Job);
  if (isError(Admitted)) {
    Handler(refusedAnswer(errorOf(Admitted)));
    return;
  }
  Executor.start("idempotent", Job,
                 [Handler](const Answer &Result) { Handler(Result); });
}

void JobRouter::forward(Forward What,
                        const std::optional<ProvisionalHold> &Hold) {
  const RequestNumber Request = ++LastRequest;
  PeerMessage Message = AttachJob{Request, {}, What.Cancel};
  if (What.Key && What.Job)
    Message = ForwardJob{Request, *What.Key, *What.Job, Hold};
  else if (What.Job)
    Message = RunRequest{Request, *What.Job};
  else
    std::get<AttachJob>(Message).Key = *What.Key;
  if (Bus.send(What.To, Message))
    Forwards.emplace(Request, std::move(What));
  else
    recover(std::move(What));
}

void JobRouter::recover(Forward Lost) {
  if (!Lost.Key) {
    runAgain(*Lost.Job, Lost.Hops + 1, Lost.GiveUp, Lost.Handler);
    return;
  }
  search(*Lost.Key, {Lost.Cancel, std::move(Lost.Job), Lost.Hops + 1,
                     Lost.GiveUp, std::move(Lost.Handler)});
}

void JobRouter::execute(const JobKey &Key, const JobRequest &Job,
                        const std::optional<ProvisionalHold> &Hold,
                        JobReplyHandler Handler) {
  const ClaimId Id{Key, bodyDigest(Job)};
  Ticket &Entry = Tickets[Id];
  Entry.Waiting.push_back(std::move(Handler));
  if (Entry.Waiting.size() > 1 || Entry.Running)
    return;
  Entry.Job = Job;
  const Result<Done> Admitted = Executor.admitJob(Job);
  // A resubmission of an answered job must find its answer even when no new
  // job would be admitted.
  if (isError(Admitted) && Claims.kept(Key) == nullptr) {
    Entry.Refusing = true;
    Claims.refuse(Key, errorOf(Admitted));
    return;
  }
  Claims.claim(Key, *Id.Digest, Hold);
}

void JobRouter::search(const JobKey &Key, Search What) {
  if (What.Hops > MaxHops) {
    What.Handler(unknownAnswer("executor_unreachable"));
    return;
  }
  auto &Waiting = Searches[Key];
  Waiting.push_back(std::move(What));
  if (Waiting.size() == 1)
    Claims.find(Key);
}

void JobRouter::attachAt(const VmId &Where, const JobKey &Key, Search What) {
  if (Where == Self) {
    attachHere(Key, What.Cancel, What.Handler);
    return;
  }
  forward({Where, Key, std::nullopt, What.Cancel, What.Hops, What.GiveUp,
           std::move(What.Handler)},
          std::nullopt);
}

void JobRouter::attachHere(const JobKey &Key, bool Cancel,
                           const JobReplyHandler &Handler) {
  const auto Found = Tickets.lower_bound({Key, std::nullopt});
  if (Found == Tickets.end() || Found->first.Key != Key) {
    const std::string *Kept = Claims.kept(Key);
    Handler(Kept == nullptr ? unknownAnswer("no_record") : decodeAnswer(*Kept));
    return;
  }
  Found->second.Waiting.push_back(Handler);
  if (!Cancel)
    return;
  Found->second.Cancelled = true;
  if (Found->second.Running)
    Executor.cancel(*Found->second.Running);
}

JobReplyHandler JobRouter::following(const JobKey &Key, int Hops,
                                     Instant GiveUp,
                                     const JobReplyHandler &Handler) {
  return [this, Key, Hops, GiveUp, Handler](const JobReplyBody &Body) {
    const auto *Elsewhere = std::get_if<Redirect>(&Body);
    if (Elsewhere == nullptr)
      Handler(Body);
    else if (Hops >= MaxHops)
      Handler(unknownAnswer("executor_unreachable"));
    else
      attachAt(Elsewhere->Executor, Key,
               {false, std::nullopt, Hops + 1, GiveUp, Handler});
  };
}

JobReplyHandler JobRouter::replyTo(const VmId &To, RequestNumber Request) {
  return [this, To, Request](const JobReplyBody &Body) {
    Bus.send(To, JobReply{Request, Body});
  };
}

void JobRouter::onReply(const JobReply &Reply) {
  auto Found = Forwards.extract(Reply.Request);
  if (Found.empty())
    return;
  Forward &Sent = Found.mapped();
  if (Sent.Key)
    following(*Sent.Key, Sent.Hops, Sent.GiveUp, Sent.Handler)(Reply.Body);
  else
    Sent.Handler(Reply.Body);
}

void JobRouter::onPeerDown(const VmId &Peer) {
  std::vector<Forward> Lost;
  std::erase_if(Forwards, [&](auto &Entry) {
    if (Entry.second.Target != Peer)
      return false;
    Lost.push_back(std::move(Entry.second));
    return true;
  });
  for (Forward &One : Lost)
    recover(std::move(One));
  std::vector<PrefixWait> LostWaits;
  std::erase_if(PrefixWaits, [&](auto &Entry) {
    if (Entry.second.Target != Peer)
      return false;
    LostWaits.push_back(std::move(Entry.second));
    return true;
  });
  for (const PrefixWait &One : LostWaits)
    One.Handler(Claims.issue(One.Team));
}

void JobRouter::expireWaits() {
  const Instant Now = Loop.now();
  std::vector<JobReplyHandler> Expired;
  std::erase_if(Forwards, [&](auto &Entry) {
    if (Entry.second.GiveUp > Now)
      return false;
    Expired.push_back(std::move(Entry.second.Handler));
    return true;
  });
  for (const JobReplyHandler &Handler : Expired)
    Handler(unknownAnswer("executor_silent"));
}

} // namespace sapphiremoor
