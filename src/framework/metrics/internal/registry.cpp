#include "framework/metrics/registry.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace sapphiremoor {

namespace {

bool allowedInName(char Char, bool IsFirst) {
  const bool Letter = (Char >= 'a' && Char <= 'z') ||
                      (Char >= 'A' && Char <= 'Z') || Char == '_';
  return Letter || (!IsFirst && Char >= '0' && Char <= '9');
}

std::string sanitizeName(const std::string &Name) {
  std::string Valid;
  for (const char Char : Name) {
    if (Valid.empty() && !allowedInName(Char, true) &&
        allowedInName(Char, false))
      Valid += '_';
    Valid += allowedInName(Char, Valid.empty()) ? Char : '_';
  }
  return Valid.empty() ? "_" : Valid;
}

std::string escape(const std::string &Text, bool EscapeQuotes) {
  std::string Escaped;
  for (const char Char : Text) {
    if (Char == '\\')
      Escaped += "\\\\";
    else if (Char == '\n')
      Escaped += "\\n";
    else if (Char == '"' && EscapeQuotes)
      Escaped += "\\\"";
    else
      Escaped += Char;
  }
  return Escaped;
}

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Value);
  return Buffer.data();
}

/// Returns "{a="1",b="2"}", or nothing if there are no labels. \p Extra is a
/// further label that is already formatted.
std::string formatLabels(const Labels &MetricLabels,
                         const std::string &Extra = {}) {
  std::string Body;
  for (const auto &[Name, Value] : MetricLabels) {
    Body += Body.empty() ? "" : ",";
    Body += sanitizeName(Name) + "=\"" + escape(Value, true) + "\"";
  }
  if (!Extra.empty())
    Body += (Body.empty() ? "" : ",") + Extra;
  return Body.empty() ? "" : "{" + Body + "}";
}

std::string sampleLine(const std::string &Name, const std::string &LabelPart,
                       const std::string &Value) {
  return Name + LabelPart + " " + Value + "\n";
}

std::string formatHistogram(const std::string &Name, const Labels &MetricLabels,
                            const LatencyHistogram &Histogram) {
  std::string Text;
  const auto BucketLine = [&](const std::string &Bound, uint64_t Count) {
    Text += sampleLine(Name + "_bucket",
                       formatLabels(MetricLabels, "le=\"" + Bound + "\""),
                       std::to_string(Count));
  };
  for (const LatencyHistogram::Bucket &CumulativeBucket : Histogram.buckets())
    BucketLine(formatNumber(CumulativeBucket.UpperSeconds),
               CumulativeBucket.CumulativeCount);
  BucketLine("+Inf", Histogram.count());
  Text += sampleLine(Name + "_sum", formatLabels(MetricLabels),
                     formatNumber(Histogram.sumSeconds()));
  Text += sampleLine(Name + "_count", formatLabels(MetricLabels),
                     std::to_string(Histogram.count()));
  return Text;
}

std::string familyHeader(const std::string &Name, const std::string &Help,
                         const std::string &Type) {
  return "# HELP " + Name + " " + escape(Help, false) + "\n# TYPE " + Name +
         " " + Type + "\n";
}

} // namespace

Registry::Family &Registry::family(const std::string &Name,
                                   const std::string &Help) {
  const auto [It, Inserted] = Families.try_emplace(sanitizeName(Name));
  if (Inserted)
    It->second.Help = Help;
  return It->second;
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &MetricLabels) {
  return family(Name, Help).Counters[MetricLabels];
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &MetricLabels) {
  return family(Name, Help).Gauges[MetricLabels];
}

LatencyHistogram &Registry::histogram(const std::string &Name,
                                      const std::string &Help,
                                      const Labels &MetricLabels) {
  return family(Name, Help).Histograms[MetricLabels];
}

std::string Registry::formatFamily(const std::string &Name,
                                   const Family &MetricFamily) {
  std::string Text;
  if (!MetricFamily.Counters.empty()) {
    Text = familyHeader(Name, MetricFamily.Help, "counter");
    for (const auto &[MetricLabels, Metric] : MetricFamily.Counters)
      Text += sampleLine(Name, formatLabels(MetricLabels),
                         std::to_string(Metric.value()));
  } else if (!MetricFamily.Gauges.empty()) {
    Text = familyHeader(Name, MetricFamily.Help, "gauge");
    for (const auto &[MetricLabels, Metric] : MetricFamily.Gauges)
      Text += sampleLine(Name, formatLabels(MetricLabels),
                         formatNumber(Metric.value()));
  } else {
    Text = familyHeader(Name, MetricFamily.Help, "histogram");
    for (const auto &[MetricLabels, Metric] : MetricFamily.Histograms)
      Text += formatHistogram(Name, MetricLabels, Metric);
  }
  return Text;
}

std::string Registry::text() const {
  std::string Text;
  for (const auto &[Name, MetricFamily] : Families)
    Text += formatFamily(Name, MetricFamily);
  return Text;
}

} // namespace sapphiremoor
