#include "placement/types/runtimes.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

// Buckets from 1 ms to 64 s, each 12 % wider than the previous one. This is
// precise enough for hedges and deadlines.
constexpr unsigned BucketCount = 96;
constexpr double MinRunTimeUs = 1e3;
constexpr double MaxRunTimeUs = 64e6;
// The declared run time has the weight of this many samples.
constexpr uint64_t DeclaredWeight = 8;
// Smallest weight of a new sample in the mean.
constexpr double MinSampleWeight = 0.01;
// At this total weight all buckets are halved, so that old samples lose
// influence.
constexpr double HalvingThreshold = 16'384;
constexpr uint64_t CacheIntervalSamples = 64;
// With fewer samples a quantile is estimated as TailFactor times the mean.
constexpr uint64_t MinQuantileSamples = 20;
constexpr int TailFactor = 3;

} // namespace

RunTimes::RunTimes(Duration DeclaredRunTime)
    : Buckets(std::make_tuple(Axis(BucketCount, MinRunTimeUs, MaxRunTimeUs))),
      Mean(static_cast<double>(DeclaredRunTime.count())),
      CachedPercentile95(TailFactor * DeclaredRunTime) {}

void RunTimes::setDeclared(Duration DeclaredRunTime) {
  if (SampleCount < DeclaredWeight)
    *this = RunTimes(DeclaredRunTime);
}

void RunTimes::addSample(Duration RunTime) {
  const auto RunTimeUs =
      static_cast<double>(std::max<int64_t>(RunTime.count(), 1));
  ++SampleCount;
  const double Weight = std::max(
      MinSampleWeight, 1.0 / static_cast<double>(SampleCount + DeclaredWeight));
  Mean += Weight * (RunTimeUs - Mean);
  Buckets(RunTimeUs);
  TotalWeight += 1;
  if (TotalWeight >= HalvingThreshold) {
    Buckets *= 0.5;
    TotalWeight *= 0.5;
  }
  if (SampleCount % CacheIntervalSamples == 0 ||
      SampleCount == MinQuantileSamples)
    CachedPercentile95 = quantile(0.95);
}

Duration RunTimes::quantile(double Share) const {
  if (SampleCount < MinQuantileSamples)
    return TailFactor * mean();
  double Remaining = Share * TotalWeight;
  for (int Bucket = -1; Bucket <= static_cast<int>(BucketCount); ++Bucket) {
    Remaining -= Buckets.at(Bucket);
    if (Remaining <= 0)
      return Duration{
          static_cast<int64_t>(Buckets.axis().value(std::max(Bucket + 1, 0)))};
  }
  return Duration{static_cast<int64_t>(MaxRunTimeUs)};
}

} // namespace sapphiremoor
