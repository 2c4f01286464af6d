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
double between(double Lower, double Upper, double Share) {
  return Lower * std::pow(Upper / Lower, Share);
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : Bins(Axis(Decades * BinsPerDecade, LowestSeconds, HighestSeconds)) {}

void LatencyHistogram::record(Duration Sample) {
  const double Seconds =
      std::chrono::duration<double>(std::max(Sample, Duration::zero())).count();
  Bins(Seconds);
  Samples += 1;
  Sum += Seconds;
}

std::optional<Duration> LatencyHistogram::quantile(double Share) const {
  if (Samples == 0)
    return std::nullopt;
  const double Wanted =
      std::clamp(Share, 0.0, 1.0) * static_cast<double>(Samples);
  const Axis &Of = Bins.axis();
  double Below = static_cast<double>(Bins.at(-1)); // the underflow bin
  if (Below > 0 && Wanted <= Below)
    return fromSeconds(LowestSeconds);
  for (int Bin = 0; Bin < Of.size(); ++Bin) {
    const auto Count = static_cast<double>(Bins.at(Bin));
    if (Count > 0 && Wanted <= Below + Count)
      return fromSeconds(
          between(Of.value(Bin), Of.value(Bin + 1), (Wanted - Below) / Count));
    Below += Count;
  }
  return fromSeconds(HighestSeconds);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
  std::vector<Bucket> Cumulative;
  const Axis &Of = Bins.axis();
  uint64_t Count = Bins.at(-1);
  for (int Bin = 0; Bin < Of.size(); ++Bin) {
    Count += Bins.at(Bin);
    if ((Bin + 1) % BinsPerBucket == 0)
      Cumulative.push_back({Of.value(Bin + 1), Count});
  }
  return Cumulative;
}

} // namespace sapphiremoor
