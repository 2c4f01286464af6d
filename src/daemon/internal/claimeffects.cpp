#include "daemon/internal/answers.h"
#include "daemon/jobrouter.h"
#include "framework/eventlog/eventlog.h"
#include "gateway/answerformat.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

void JobRouter::onEffect(const StartJob &Effect) {
  const ClaimId Id{Effect.Key, Effect.Digest};
  const auto Found = Tickets.find(Id);
  if (Found == Tickets.end() || Found->second.Cancelled) {
    finishTicket(Id, {Outcome::NotRun,
                      Retry::NewKey,
                      "cancelled",
                      "the job was given up before it started",
                      {}});
    return;
  }
  Found->second.Label = Keys.format(Effect.Key);
  Found->second.Running = Executor.start(
      Found->second.Label, Found->second.Job,
      [this, Id](const Answer &Result) { finishTicket(Id, Result); });
}

void JobRouter::onEffect(const JoinJob &Effect) {
  if (Effect.Digest) {
    const auto Found = Tickets.find({Effect.Key, Effect.Digest});
    if (Found != Tickets.end() && Found->second.Running)
      return;
    const std::string *Kept = Claims.kept(Effect.Key);
    answerTickets(Effect.Key, Effect.Digest,
                  Kept == nullptr ? unknownAnswer("no_record")
                                  : decodeAnswer(*Kept));
    return;
  }
  for (const Search &Waiting : takeSearches(Effect.Key))
    attachHere(Effect.Key, Waiting.Cancel, Waiting.Handler);
}

void JobRouter::onEffect(const PassToExecutor &Effect) {
  answerTickets(Effect.Key, Effect.Digest, Redirect{Effect.Executor});
  if (Effect.Digest)
    return;
  for (Search &Waiting : takeSearches(Effect.Key)) {
    ++Waiting.Hops;
    attachAt(Effect.Executor, Effect.Key, std::move(Waiting));
  }
}

void JobRouter::onEffect(const Decide &Effect) {
  const JobReplyBody Body = decidedReply(Effect);
  if (Effect.Outcome == ClaimOutcome::NotRun)
    logEvent(events::JobRefused,
             {{"key", Keys.format(Effect.Key)}, {"error", Effect.Reason}});
  answerTickets(Effect.Key, Effect.Digest, Body);
  if (Effect.Digest)
    return;
  for (const Search &Waiting : takeSearches(Effect.Key)) {
    if (Waiting.Resubmit && Effect.Reason == "not_submitted")
      submitAgain(Effect.Key, *Waiting.Resubmit, Waiting.Hops + 1,
                  Waiting.GiveUp, Waiting.Handler);
    else
      Waiting.Handler(Body);
  }
}

void JobRouter::finishTicket(const ClaimId &Id, const Answer &Result) {
  auto Ended = Tickets.extract(Id);
  const bool Started = !Ended.empty() && !Ended.mapped().Label.empty();
  logEvent(events::JobDecided,
           {{"key", Started ? Ended.mapped().Label : Keys.format(Id.Key)},
            {"outcome", std::string(outcomeName(Result.Result))},
            {"reason", Result.Reason}});
  Claims.store(Id.Key, *Id.Digest, encodeAnswer(Result));
  if (Ended.empty())
    return;
  for (const JobReplyHandler &Handler : Ended.mapped().Waiting)
    Handler(Result);
}

void JobRouter::answerTickets(const JobKey &Key,
                              const std::optional<BodyDigest> &Digest,
                              const JobReplyBody &Body) {
  // An effect without a digest ends a refusal, which also ends the pending
  // claims of its key. It does not concern jobs that run.
  const bool Refusal = std::ranges::any_of(Tickets, [&](const auto &Entry) {
    return Entry.first.Key == Key && Entry.second.Refusing;
  });
  if (!Digest && !Refusal)
    return;
  std::vector<JobReplyHandler> Told;
  std::erase_if(Tickets, [&](auto &Entry) {
    const bool Concerned = Entry.first.Key == Key && !Entry.second.RunNumber &&
                           (!Digest || Entry.first.Digest == Digest);
    if (Concerned)
      std::ranges::move(Entry.second.Waiters, std::back_inserter(Told));
    return Concerned;
  });
  for (const JobReplyHandler &Handler : Told)
    Handler(Body);
}

std::vector<JobRouter::Search> JobRouter::takeSearches(const JobKey &Key) {
  auto Found = Searches.extract(Key);
  return Found.empty() ? std::vector<Search>() : std::move(Found.mapped());
}

} // namespace sapphiremoor
