#include "placement/types/runtimes.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

// 1 ms to 64 s in steps of 12 %: fine enough for hedges and deadlines.
constexpr unsigned BucketCount = 96;
constexpr double LowestUs = 1e3;
constexpr double HighestUs = 64e6;
// The declared run time counts as this many samples.
constexpr uint64_t DeclaredWeight = 8;
// Smallest weight of a new sample in the mean.
constexpr double MinWeight = 0.01;
// Past this total all buckets are halved, so that old samples fade.
constexpr double FadeAt = 16'384;
constexpr uint64_t CacheEvery = 64;
// Below this number of samples a tail quantile is guessed from the mean.
constexpr uint64_t FewSamples = 20;
constexpr int GuessedTail = 3;

} // namespace

RunTimes::RunTimes(Duration Declared)
    : Buckets(std::make_tuple(Axis(BucketCount, LowestUs, HighestUs))),
      Mean(static_cast<double>(Declared.count())),
      Cached95(GuessedTail * Declared) {}

void RunTimes::declare(Duration Declared) {
  if (Samples < DeclaredWeight)
    *this = RunTimes(Declared);
}

void RunTimes::learn(Duration RunTime) {
  const auto Us = static_cast<double>(std::max<int64_t>(RunTime.count(), 1));
  ++Samples;
  const double Weight =
      std::max(MinWeight, 1.0 / static_cast<double>(Samples + DeclaredWeight));
  Mean += Weight * (Us - Mean);
  Buckets(Us);
  Total += 1;
  if (Total >= FadeAt) {
    Buckets *= 0.5;
    Total *= 0.5;
  }
  if (Samples % CacheEvery == 0 || Samples == FewSamples)
    Cached95 = quantile(0.95);
}

Duration RunTimes::quantile(double Share) const {
  if (Samples < FewSamples)
    return GuessedTail * mean();
  double Left = Share * Total;
  for (int Bucket = -1; Bucket <= static_cast<int>(BucketCount); ++Bucket) {
    Left -= Buckets.at(Bucket);
    if (Left <= 0)
      return Duration{
          static_cast<int64_t>(Buckets.axis().value(std::max(Bucket + 1, 0)))};
  }
  return Duration{static_cast<int64_t>(HighestUs)};
}

} // namespace sapphiremoor
