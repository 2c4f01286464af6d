#include "framework/metrics/latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace sapphiremoor {

namespace {

constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100;
constexpr unsigned Decades = 7;
constexpr unsigned BinsPerDecade = 20;
constexpr int BinsPerBucket = 5;

Duration fromSeconds(double Seconds) {
  return Duration(std::llround(Seconds * 1e6));
}

/// Interpolates between the bounds on the logarithmic axis.
double interpolateLog(double Lower, double Upper, double Fraction) {
  return Lower * std::pow(Upper / Lower, Fraction);
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : Bins(Axis(Decades * BinsPerDecade, LowestSeconds, HighestSeconds)) {}

void LatencyHistogram::record(Duration Sample) {
  const double Seconds =
      std::chrono::duration<double>(std::max(Sample, Duration::zero())).count();
  Bins(Seconds);
  SampleCount += 1;
  TotalSeconds += Seconds;
}

std::optional<Duration> LatencyHistogram::quantile(double Fraction) const {
  if (SampleCount == 0)
    return std::nullopt;
  const double TargetRank =
      std::clamp(Fraction, 0.0, 1.0) * static_cast<double>(SampleCount);
  const Axis &BinAxis = Bins.axis();
  double CountBelow = static_cast<double>(Bins.at(-1)); // the underflow bin
  if (CountBelow > 0 && TargetRank <= CountBelow)
    return fromSeconds(LowestSeconds);
  for (int Bin = 0; Bin < BinAxis.size(); ++Bin) {
    const auto Count = static_cast<double>(Bins.at(Bin));
    if (Count > 0 && TargetRank <= CountBelow + Count)
      return fromSeconds(interpolateLog(BinAxis.value(Bin),
                                        BinAxis.value(Bin + 1),
                                        (TargetRank - CountBelow) / Count));
    CountBelow += Count;
  }
  return fromSeconds(HighestSeconds);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
  std::vector<Bucket> Cumulative;
  const Axis &BinAxis = Bins.axis();
  uint64_t Count = Bins.at(-1);
  for (int Bin = 0; Bin < BinAxis.size(); ++Bin) {
    Count += Bins.at(Bin);
    if ((Bin + 1) % BinsPerBucket == 0)
      Cumulative.push_back({BinAxis.value(Bin + 1), Count});
  }
  return Cumulative;
}

} // namespace sapphiremoor
