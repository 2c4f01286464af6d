#include "servicelevel/outcomes.h"

#include "servicelevel/types/burnreport.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Minute RetentionMinutes = BurnWindows.back().Minutes;

std::deque<MinuteBucket> &selectSeries(ServiceLevelState &State,
                                       const std::string &Service,
                                       const std::string &Team) {
  const SeriesName Name{Service, Team};
  const bool IsFull = State.Series.size() >= MaxSeries;
  if (IsFull && !State.Series.contains(Name))
    return State.Series[{Service, OtherTeams}];
  return State.Series[Name];
}

MinuteBucket &findOrAddBucket(std::deque<MinuteBucket> &Buckets, Minute Time) {
  auto It = Buckets.end();
  while (It != Buckets.begin() && std::prev(It)->Time >= Time)
    --It;
  if (It == Buckets.end() || It->Time != Time)
    It = Buckets.insert(It, MinuteBucket{Time});
  return *It;
}

void dropExpired(std::deque<MinuteBucket> &Buckets) {
  while (Buckets.back().Time - Buckets.front().Time >= RetentionMinutes)
    Buckets.pop_front();
}

void count(MinuteBucket &Bucket, RequestOutcome Outcome, Duration Latency) {
  switch (Outcome) {
  case RequestOutcome::Good:
    ++Bucket.Good;
    break;
  case RequestOutcome::Slow:
    ++Bucket.Slow;
    break;
  case RequestOutcome::Failed:
    ++Bucket.Failed;
    return;
  case RequestOutcome::Refused:
    ++Bucket.Refused;
    return;
  case RequestOutcome::Unknown:
    ++Bucket.Unknown;
    return;
  }
  const Duration NonNegative = std::max(Latency, Duration::zero());
  Bucket.LatencyMicroseconds += static_cast<uint64_t>(NonNegative.count());
}

} // namespace

RequestOutcome classifyLatency(const Objectives &Objective, Duration Latency) {
  return Latency <= Objective.Latency ? RequestOutcome::Good
                                      : RequestOutcome::Slow;
}

Minute toMinute(Instant Now) {
  return static_cast<Minute>(
      std::chrono::floor<std::chrono::minutes>(Now.time_since_epoch()).count());
}

void recordOutcome(ServiceLevelState &State, const std::string &Service,
                   const std::string &Team, RequestOutcome Outcome,
                   Duration Latency, Minute Time) {
  std::deque<MinuteBucket> &Buckets = selectSeries(State, Service, Team);
  const bool IsTooOld =
      !Buckets.empty() && Time + RetentionMinutes <= Buckets.back().Time;
  if (IsTooOld)
    return;
  count(findOrAddBucket(Buckets, Time), Outcome, Latency);
  dropExpired(Buckets);
}

} // namespace sapphiremoor
