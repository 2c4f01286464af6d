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
  const auto JobIt = LocalJobs.find(Id);
  if (JobIt == LocalJobs.end() || JobIt->second.Cancelled) {
    finishLocalJob(Id, {Outcome::NotRun,
                        Retry::NewKey,
                        "cancelled",
                        "the job was cancelled before it started",
                        {}});
    return;
  }
  JobIt->second.Label = Keys.format(Effect.Key);
  JobIt->second.RunNumber = Executor.start(
      JobIt->second.Label, JobIt->second.Job,
      [this, Id](const Answer &Result) { finishLocalJob(Id, Result); });
}

void JobRouter::onEffect(const JoinJob &Effect) {
  if (Effect.Digest) {
    const auto JobIt = LocalJobs.find({Effect.Key, Effect.Digest});
    if (JobIt != LocalJobs.end() && JobIt->second.RunNumber)
      return;
    const std::string *Stored = Claims.storedAnswer(Effect.Key);
    answerLocalJobs(Effect.Key, Effect.Digest,
                    Stored == nullptr ? unknownAnswer("no_record")
                                      : decodeAnswer(*Stored));
    return;
  }
  for (const Search &PendingSearch : takeSearches(Effect.Key))
    attachLocally(Effect.Key, PendingSearch.Cancel, PendingSearch.Handler);
}

void JobRouter::onEffect(const PassToExecutor &Effect) {
  answerLocalJobs(Effect.Key, Effect.Digest, Redirect{Effect.Executor});
  if (Effect.Digest)
    return;
  for (Search &PendingSearch : takeSearches(Effect.Key)) {
    ++PendingSearch.Hops;
    attachAtExecutor(Effect.Executor, Effect.Key, std::move(PendingSearch));
  }
}

void JobRouter::onEffect(const ReportOutcome &Effect) {
  const JobReplyBody Body = makeClaimReply(Effect);
  if (Effect.Outcome == ClaimOutcome::NotRun)
    logEvent(events::JobRefused,
             {{"key", Keys.format(Effect.Key)}, {"error", Effect.Reason}});
  answerLocalJobs(Effect.Key, Effect.Digest, Body);
  if (Effect.Digest)
    return;
  for (const Search &PendingSearch : takeSearches(Effect.Key)) {
    if (PendingSearch.ResubmitJob && Effect.Reason == "not_submitted")
      routeSubmit(Effect.Key, *PendingSearch.ResubmitJob,
                  PendingSearch.Hops + 1, PendingSearch.WaitDeadline,
                  PendingSearch.Handler);
    else
      PendingSearch.Handler(Body);
  }
}

void JobRouter::finishLocalJob(const ClaimId &Id, const Answer &Result) {
  auto Extracted = LocalJobs.extract(Id);
  const bool Started = !Extracted.empty() && !Extracted.mapped().Label.empty();
  logEvent(events::JobDecided,
           {{"key", Started ? Extracted.mapped().Label : Keys.format(Id.Key)},
            {"outcome", std::string(outcomeName(Result.JobOutcome))},
            {"reason", Result.Reason}});
  Claims.store(Id.Key, *Id.Digest, encodeAnswer(Result));
  if (Extracted.empty())
    return;
  for (const JobReplyHandler &Handler : Extracted.mapped().Waiters)
    Handler(Result);
}

void JobRouter::answerLocalJobs(const JobKey &Key,
                                const std::optional<BodyDigest> &Digest,
                                const JobReplyBody &Body) {
  // An effect without a digest ends a refusal and with it all pending claims of
  // the key. Running jobs are not affected.
  const bool IsRefusal = std::ranges::any_of(LocalJobs, [&](const auto &Entry) {
    return Entry.first.Key == Key && Entry.second.Refusing;
  });
  if (!Digest && !IsRefusal)
    return;
  std::vector<JobReplyHandler> Waiters;
  std::erase_if(LocalJobs, [&](auto &Entry) {
    const bool Matches = Entry.first.Key == Key && !Entry.second.RunNumber &&
                         (!Digest || Entry.first.Digest == Digest);
    if (Matches)
      std::ranges::move(Entry.second.Waiters, std::back_inserter(Waiters));
    return Matches;
  });
  for (const JobReplyHandler &Handler : Waiters)
    Handler(Body);
}

std::vector<JobRouter::Search> JobRouter::takeSearches(const JobKey &Key) {
  auto Extracted = Searches.extract(Key);
  return Extracted.empty() ? std::vector<Search>()
                           : std::move(Extracted.mapped());
}

} // namespace sapphiremoor
