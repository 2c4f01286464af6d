#include "servicelevel/burn.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>
#include <utility>

namespace sapphiremoor {

namespace {

double computeBurnRate(uint64_t Bad, uint64_t Total, double Objective) {
  if (Total == 0)
    return 0;
  const double BadShare = static_cast<double>(Bad) / static_cast<double>(Total);
  return BadShare / (1 - Objective);
}

void addBucket(OutcomeCounts &Counts, const MinuteBucket &Bucket) {
  Counts +=
      OutcomeCounts{Bucket.Good,    Bucket.Slow,    Bucket.Failed,
                    Bucket.Refused, Bucket.Unknown, Bucket.LatencyMicroseconds};
}

/// Adds the bucket to every window that contains it.
void addToWindows(BurnRow &Row, const MinuteBucket &Bucket, Minute Now) {
  if (Bucket.Time > Now)
    return;
  const Minute Age = Now - Bucket.Time;
  for (std::size_t I = 0; I < BurnWindows.size(); ++I)
    if (Age < BurnWindows[I].Minutes)
      addBucket(Row.Windows[I], Bucket);
}

void addWindows(BurnRow &Target, const BurnRow &Source) {
  for (std::size_t I = 0; I < Target.Windows.size(); ++I)
    Target.Windows[I] += Source.Windows[I];
}

using RowsByName = std::map<std::pair<std::string, std::string>, BurnRow>;

std::vector<BurnRow> toRowList(const RowsByName &Rows) {
  const auto Values = std::views::values(Rows);
  return {Values.begin(), Values.end()};
}

/// Adds the counts of \p Row to the row of its service and of \p Team.
void addRow(RowsByName &Rows, const BurnRow &Row, const std::string &Team) {
  const auto [It, IsNew] = Rows.try_emplace({Row.Service, Team});
  if (IsNew) {
    It->second.Service = Row.Service;
    It->second.Team = Team;
    It->second.Objectives = Row.Objectives;
  }
  addWindows(It->second, Row);
}

} // namespace

double availabilityBurn(const OutcomeCounts &Counts,
                        const Objectives &Objective) {
  return computeBurnRate(Counts.lost(), Counts.answered(),
                         Objective.Availability);
}

double latencyBurn(const OutcomeCounts &Counts, const Objectives &Objective) {
  return computeBurnRate(Counts.Slow, Counts.succeeded(),
                         Objective.LatencyShare);
}

double availabilityBudgetLeft(const BurnRow &Row) {
  return 1 - availabilityBurn(Row.Windows.back(), Row.Objectives);
}

double latencyBudgetLeft(const BurnRow &Row) {
  return 1 - latencyBurn(Row.Windows.back(), Row.Objectives);
}

BurnReport buildReport(const ServiceLevelState &State,
                       const ServiceConfig &Config, Minute Now) {
  RowsByName Rows;
  std::set<std::string> SeenServices;
  for (const auto &[Name, Buckets] : State.Series) {
    const auto Service = Config.Services.find(Name.Service);
    if (Service == Config.Services.end())
      continue;
    BurnRow Row{Name.Service, Name.Team, Service->second.Objectives, {}};
    for (const MinuteBucket &Bucket : Buckets)
      addToWindows(Row, Bucket, Now);
    addRow(Rows, Row, Name.Team);
    SeenServices.insert(Name.Service);
  }
  for (const auto &[Name, Service] : Config.Services)
    if (!SeenServices.contains(Name))
      addRow(Rows, BurnRow{Name, "", Service.Objectives, {}}, "");
  return {{}, toRowList(Rows)};
}

BurnReport mergeReports(const std::vector<BurnReport> &Reports) {
  RowsByName Rows;
  std::set<std::string> Vms;
  for (const BurnReport &Report : Reports) {
    Vms.insert(Report.Vms.begin(), Report.Vms.end());
    for (const BurnRow &Row : Report.Rows)
      addRow(Rows, Row, Row.Team);
  }
  // A VM without requests for a service reports a row without a team. It is
  // removed if another VM has counted requests.
  const auto IsIdle = [&Rows](const auto &Entry) {
    const auto Next = Rows.upper_bound(Entry.first);
    return Entry.first.second.empty() && Next != Rows.end() &&
           Next->first.first == Entry.first.first;
  };
  std::erase_if(Rows, IsIdle);
  return {{Vms.begin(), Vms.end()}, toRowList(Rows)};
}

std::vector<BurnRow> serviceTotals(const BurnReport &Report) {
  RowsByName Rows;
  for (const BurnRow &Row : Report.Rows)
    addRow(Rows, Row, "");
  return toRowList(Rows);
}

} // namespace sapphiremoor
