#include "servicelevel/burn.h"
#include "servicelevel/render.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <exception>
#include <optional>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

double meanMilliseconds(const OutcomeCounts &Counts) {
  constexpr double MicrosecondsPerMillisecond = 1000;
  if (Counts.succeeded() == 0)
    return 0;
  return static_cast<double>(Counts.LatencyMicroseconds) /
         static_cast<double>(Counts.succeeded()) / MicrosecondsPerMillisecond;
}

Json toJson(const OutcomeCounts &Counts, const Objectives &Objective) {
  return {{"good", Counts.Good},
          {"slow", Counts.Slow},
          {"failed", Counts.Failed},
          {"refused", Counts.Refused},
          {"unknown", Counts.Unknown},
          {"latency_us", Counts.LatencyMicroseconds},
          {"mean_ms", meanMilliseconds(Counts)},
          {"availability_burn", availabilityBurn(Counts, Objective)},
          {"latency_burn", latencyBurn(Counts, Objective)}};
}

Json toJson(const BurnRow &Row) {
  Json Windows = Json::object();
  for (std::size_t I = 0; I < BurnWindows.size(); ++I)
    Windows[std::string(BurnWindows[I].Key)] =
        toJson(Row.Windows[I], Row.Objectives);
  const std::chrono::duration<double, std::milli> Latency =
      Row.Objectives.Latency;
  return {{"service", Row.Service},
          {"team", Row.Team},
          {"objectives",
           {{"availability", Row.Objectives.Availability},
            {"latency_ms", Latency.count()},
            {"latency_share", Row.Objectives.LatencyShare}}},
          {"windows", std::move(Windows)},
          {"availability_budget_left", availabilityBudgetLeft(Row)},
          {"latency_budget_left", latencyBudgetLeft(Row)}};
}

/// Unlike get(), get_ref() rejects negative and fractional numbers.
uint64_t readCount(const Json &Object, const char *Key) {
  return Object.at(Key).get_ref<const Json::number_unsigned_t &>();
}

OutcomeCounts readCounts(const Json &Object) {
  return {readCount(Object, "good"),    readCount(Object, "slow"),
          readCount(Object, "failed"),  readCount(Object, "refused"),
          readCount(Object, "unknown"), readCount(Object, "latency_us")};
}

/// Returns the objectives of a row, or nothing if a value is out of range.
std::optional<Objectives> readObjectives(const Json &Object) {
  constexpr double MaxLatencyMs = 1e9;
  const double Availability = Object.at("availability").get<double>();
  const double LatencyMs = Object.at("latency_ms").get<double>();
  const double LatencyShare = Object.at("latency_share").get<double>();
  const auto IsShare = [](double Share) { return Share >= 0 && Share < 1; };
  if (!IsShare(Availability) || !IsShare(LatencyShare) || LatencyMs < 0 ||
      LatencyMs > MaxLatencyMs)
    return std::nullopt;
  const std::chrono::duration<double, std::milli> Latency(LatencyMs);
  return Objectives{Availability, std::chrono::round<Duration>(Latency),
                    LatencyShare};
}

std::optional<BurnRow> readRow(const Json &Object) {
  const auto Objective = readObjectives(Object.at("objectives"));
  if (!Objective)
    return std::nullopt;
  BurnRow Row{Object.at("service").get<std::string>(),
              Object.at("team").get<std::string>(),
              *Objective,
              {}};
  const Json &Windows = Object.at("windows");
  for (std::size_t I = 0; I < BurnWindows.size(); ++I)
    Row.Windows[I] = readCounts(Windows.at(std::string(BurnWindows[I].Key)));
  return Row;
}

Error invalidReport(const std::string &Cause) {
  return {ErrorKind::BadJson, "not a burn report: " + Cause,
          "make sure that the VM runs the same version as this program"};
}

} // namespace

std::string renderJson(const BurnReport &Report) {
  Json Rows = Json::array();
  for (const BurnRow &Row : Report.Rows)
    Rows.push_back(toJson(Row));
  const Json Document{{"vms", Report.Vms}, {"rows", std::move(Rows)}};
  constexpr int Indent = 2;
  return Document.dump(Indent, ' ', false, Json::error_handler_t::replace);
}

Result<BurnReport> parseReport(std::string_view Text) {
  try {
    const Json Document = Json::parse(Text);
    BurnReport Report;
    Report.Vms = Document.at("vms").get<std::vector<std::string>>();
    for (const Json &Object : Document.at("rows")) {
      const std::optional<BurnRow> Row = readRow(Object);
      if (!Row)
        return invalidReport("an objective is out of range");
      Report.Rows.push_back(*Row);
    }
    return Report;
  } catch (const std::exception &Cause) {
    return invalidReport(Cause.what());
  }
}

} // namespace sapphiremoor
