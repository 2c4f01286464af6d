#include "framework/metrics/registry.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace sapphiremoor {

namespace {

bool allowedInName(char Char, bool First) {
  const bool Letter = (Char >= 'a' && Char <= 'z') ||
                      (Char >= 'A' && Char <= 'Z') || Char == '_';
  return Letter || (!First && Char >= '0' && Char <= '9');
}

std::string validName(const std::string &Name) {
  std::string Valid;
  for (const char Char : Name) {
    if (Valid.empty() && !allowedInName(Char, true) &&
        allowedInName(Char, false))
      Valid += '_';
    Valid += allowedInName(Char, Valid.empty()) ? Char : '_';
  }
  return Valid.empty() ? "_" : Valid;
}

std::string escaped(const std::string &Text, bool Quotes) {
  std::string Escaped;
  for (const char Char : Text) {
    if (Char == '\\')
      Escaped += "\\\\";
    else if (Char == '\n')
      Escaped += "\\n";
    else if (Char == '"' && Quotes)
      Escaped += "\\\"";
    else
      Escaped += Char;
  }
  return Escaped;
}

std::string numberText(double Value) {
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
std::string labelText(const Labels &Of, const std::string &Extra = {}) {
  std::string Inside;
  for (const auto &[Name, Value] : Of) {
    Inside += Inside.empty() ? "" : ",";
    Inside += validName(Name) + "=\"" + escaped(Value, true) + "\"";
  }
  if (!Extra.empty())
    Inside += (Inside.empty() ? "" : ",") + Extra;
  return Inside.empty() ? "" : "{" + Inside + "}";
}

std::string sample(const std::string &Name, const std::string &LabelPart,
                   const std::string &Value) {
  return Name + LabelPart + " " + Value + "\n";
}

std::string histogramText(const std::string &Name, const Labels &Of,
                          const LatencyHistogram &Histogram) {
  std::string Text;
  const auto BucketLine = [&](const std::string &Bound, uint64_t Count) {
    Text += sample(Name + "_bucket", labelText(Of, "le=\"" + Bound + "\""),
                   std::to_string(Count));
  };
  for (const LatencyHistogram::Bucket &Each : Histogram.buckets())
    BucketLine(numberText(Each.UpperSeconds), Each.CountUpTo);
  BucketLine("+Inf", Histogram.count());
  Text +=
      sample(Name + "_sum", labelText(Of), numberText(Histogram.sumSeconds()));
  Text +=
      sample(Name + "_count", labelText(Of), std::to_string(Histogram.count()));
  return Text;
}

std::string header(const std::string &Name, const std::string &Help,
                   const std::string &Type) {
  return "# HELP " + Name + " " + escaped(Help, false) + "\n# TYPE " + Name +
         " " + Type + "\n";
}

} // namespace

Registry::Family &Registry::family(const std::string &Name,
                                   const std::string &Help) {
  const auto [Found, Added] = Families.try_emplace(validName(Name));
  if (Added)
    Found->second.Help = Help;
  return Found->second;
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &Of) {
  return family(Name, Help).Counters[Of];
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &Of) {
  return family(Name, Help).Gauges[Of];
}

LatencyHistogram &Registry::histogram(const std::string &Name,
                                      const std::string &Help,
                                      const Labels &Of) {
  return family(Name, Help).Histograms[Of];
}

std::string Registry::familyText(const std::string &Name, const Family &Of) {
  std::string Text;
  if (!Of.Counters.empty()) {
    Text = header(Name, Of.Help, "counter");
    for (const auto &[Each, Metric] : Of.Counters)
      Text += sample(Name, labelText(Each), std::to_string(Metric.value()));
  } else if (!Of.Gauges.empty()) {
    Text = header(Name, Of.Help, "gauge");
    for (const auto &[Each, Metric] : Of.Gauges)
      Text += sample(Name, labelText(Each), numberText(Metric.value()));
  } else {
    Text = header(Name, Of.Help, "histogram");
    for (const auto &[Each, Metric] : Of.Histograms)
      Text += histogramText(Name, Each, Metric);
  }
  return Text;
}

std::string Registry::text() const {
  std::string Text;
  for (const auto &[Name, Of] : Families)
    Text += familyText(Name, Of);
  return Text;
}

} // namespace sapphiremoor
