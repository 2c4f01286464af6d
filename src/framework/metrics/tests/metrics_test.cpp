#include "framework/metrics/processmemory.h"
#include "framework/metrics/registry.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace sapphiremoor;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

double relativeError(Duration Actual, Duration Expected) {
  return std::abs(static_cast<double>(Actual.count()) /
                      static_cast<double>(Expected.count()) -
                  1);
}

} // namespace

// Guards against a wrong bin or rank: the bound is the width of one bin, plus
// the rounding to microseconds.
TEST_CASE("quantiles are within one bin of the true value") {
  const double BinWidth = std::pow(10.0, 1.0 / 20) - 1;
  LatencyHistogram Histogram;
  CHECK_FALSE(Histogram.quantile(0.5).has_value());
  for (int I = 1; I <= 1000; ++I)
    Histogram.record(milliseconds(I));
  for (const double Fraction : {0.01, 0.5, 0.9, 0.99, 1.0}) {
    CAPTURE(Fraction);
    const Duration Expected = microseconds(std::llround(Fraction * 1e6));
    CHECK(relativeError(*Histogram.quantile(Fraction), Expected) <
          BinWidth + 1e-6);
  }
}

// Guards against samples that are lost because they lie outside the axis.
TEST_CASE("durations beyond the axis are counted at its ends") {
  LatencyHistogram Histogram;
  Histogram.record(microseconds(-5));
  Histogram.record(microseconds(0));
  Histogram.record(seconds(1000));
  CHECK(Histogram.count() == 3);
  CHECK(Histogram.sumSeconds() == 1000);
  CHECK(*Histogram.quantile(0.5) == microseconds(10));
  CHECK(*Histogram.quantile(1.0) == seconds(100));
  CHECK(Histogram.buckets().front().CumulativeCount == 2);
  CHECK(Histogram.buckets().back().CumulativeCount == 2);
}

// Guards against a reference that a later metric of the registry invalidates.
TEST_CASE("the same name and labels give the same metric") {
  Registry Metrics;
  Counter &First = Metrics.counter("jobs", "Jobs.", {{"team", "a"}});
  for (int I = 0; I < 1000; ++I)
    Metrics.counter("jobs", "Jobs.", {{"team", std::to_string(I)}}).add();
  First.add(41);
  CHECK(Metrics.counter("jobs", "Jobs.", {{"team", "a"}}).value() == 41);
}

// Guards against a line that a scraper refuses.
TEST_CASE("the exposition has help, type, labels and escaped values") {
  Registry Metrics;
  Metrics.counter("jobs_total", "Jobs\nby \\team.", {{"team", "a\"b\\c\nd"}})
      .add(3);
  Metrics.gauge("9 free-slots", "Slots.").set(2.5);
  Metrics.gauge("infinite", "A bound.").set(INFINITY);
  const std::string Text = Metrics.text();
  CHECK(contains(Text, "# HELP jobs_total Jobs\\nby \\\\team.\n"
                       "# TYPE jobs_total counter\n"
                       "jobs_total{team=\"a\\\"b\\\\c\\nd\"} 3\n"));
  CHECK(contains(Text, "# TYPE _9_free_slots gauge\n_9_free_slots 2.5\n"));
  CHECK(contains(Text, "infinite +Inf\n"));
}

// Guards against buckets that are not cumulative or lack the total.
TEST_CASE("a histogram is exposed as cumulative buckets, sum and count") {
  Registry Metrics;
  LatencyHistogram &Histogram =
      Metrics.histogram("wait_seconds", "Wait.", {{"service", "quote"}});
  Histogram.record(milliseconds(50));
  Histogram.record(milliseconds(500));
  const std::string Text = Metrics.text();
  CHECK(contains(Text, "# TYPE wait_seconds histogram\n"));
  CHECK(
      contains(Text, "wait_seconds_bucket{service=\"quote\",le=\"0.1\"} 1\n"));
  CHECK(contains(Text, "wait_seconds_bucket{service=\"quote\",le=\"1\"} 2\n"));
  CHECK(
      contains(Text, "wait_seconds_bucket{service=\"quote\",le=\"+Inf\"} 2\n"));
  CHECK(contains(Text, "wait_seconds_sum{service=\"quote\"} 0.55\n"));
  CHECK(contains(Text, "wait_seconds_count{service=\"quote\"} 2\n"));
}

// Guards against a process that is ended for its memory and leaves no trace of
// it.
TEST_CASE("the memory of the process is exposed and grows with what it holds") {
  constexpr std::size_t HeldBytes = std::size_t{32} << 20;
  const std::vector<char> Held(HeldBytes, 'x');
  Registry Metrics;
  recordProcessMemory(Metrics);
  const double Resident =
      Metrics.gauge("process_resident_memory_bytes", "").value();
  const double Peak = Metrics.gauge("process_peak_memory_bytes", "").value();
  CHECK(Resident >= static_cast<double>(Held.size()));
  CHECK(Peak >= Resident);
}

// Guards against a gauge of 0 where the kernel tells no size.
TEST_CASE("a process status without sizes gives no memory") {
  CHECK(
      parseProcessStatus("Name:\ta\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n") ==
      ProcessMemory{1048576, 2097152});
  CHECK_FALSE(parseProcessStatus(""));
  CHECK_FALSE(parseProcessStatus("Name:\ta\nVmRSS:\t  1024 kB\n"));
  CHECK_FALSE(parseProcessStatus("Name:\ta\nVmHWM:\t kB\nVmRSS:\t 1 kB\n"));
}
