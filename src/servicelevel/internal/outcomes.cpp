#include "servicelevel/outcomes.h"

#include "servicelevel/types/burnreport.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr Minute KeptMinutes = BurnWindows.back().Minutes;

std::deque<MinuteBucket> &seriesOf(ServiceLevelState &State,
                                   const std::string &Service,
                                   const std::string &Team) {
  const SeriesName Name{Service, Team};
  const bool IsFull = State.Series.size() >= MaxSeries;
  if (IsFull && !State.Series.contains(Name))
    return State.Series[{Service, OtherTeams}];
  return State.Series[Name];
}

MinuteBucket &bucketOf(std::deque<MinuteBucket> &Buckets, Minute At) {
  auto Place = Buckets.end();
  while (Place != Buckets.begin() && std::prev(Place)->At >= At)
    --Place;
  if (Place == Buckets.end() || Place->At != At)
    Place = Buckets.insert(Place, MinuteBucket{At});
  return *Place;
}

void dropOld(std::deque<MinuteBucket> &Buckets) {
  while (Buckets.back().At - Buckets.front().At >= KeptMinutes)
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
  const Duration Positive = std::max(Latency, Duration::zero());
  Bucket.LatencyMicroseconds += static_cast<uint64_t>(Positive.count());
}

} // namespace

RequestOutcome classifyLatency(const Objectives &Objective, Duration Latency) {
  return Latency <= Objective.Latency ? RequestOutcome::Good
                                      : RequestOutcome::Slow;
}

Minute minuteOf(Instant Now) {
  return static_cast<Minute>(
      std::chrono::floor<std::chrono::minutes>(Now.time_since_epoch()).count());
}

void recordOutcome(ServiceLevelState &State, const std::string &Service,
                   const std::string &Team, RequestOutcome Outcome,
                   Duration Latency, Minute At) {
  std::deque<MinuteBucket> &Buckets = seriesOf(State, Service, Team);
  const bool IsTooOld =
      !Buckets.empty() && At + KeptMinutes <= Buckets.back().At;
  if (IsTooOld)
    return;
  count(bucketOf(Buckets, At), Outcome, Latency);
  dropOld(Buckets);
}

} // namespace sapphiremoor
