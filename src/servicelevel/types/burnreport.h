#ifndef SAPPHIREMOOR_SERVICELEVEL_TYPES_BURNREPORT_H
#define SAPPHIREMOOR_SERVICELEVEL_TYPES_BURNREPORT_H

#include "configuration/types/serviceconfig.h"
#include "servicelevel/types/outcomecounts.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// A time window over which burn rates are computed.
struct BurnWindow {
  /// Name in the JSON report.
  std::string_view Key;
  /// Label in tables and plots.
  std::string_view Label;
  uint32_t Minutes;
};

/// Windows, shortest first. The error budget applies to the last one.
inline constexpr std::array<BurnWindow, 4> BurnWindows{{
    {"5m", "5 min", 5},
    {"1h", "1 h", 60},
    {"6h", "6 h", 6 * 60},
    {"3d", "3 d", 3 * 24 * 60},
}};

/// Counts of one service and team, with one entry for each of BurnWindows.
struct BurnRow {
  std::string Service;
  /// Empty in rows that sum over all teams.
  std::string Team;
  struct Objectives Objectives;
  std::array<OutcomeCounts, BurnWindows.size()> Windows{};

  auto operator<=>(const BurnRow &) const = default;
};

/// Counts of one or more VMs, sorted by service and team.
struct BurnReport {
  /// Names of the VMs that the counts come from.
  std::vector<std::string> Vms;
  std::vector<BurnRow> Rows;

  auto operator<=>(const BurnReport &) const = default;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_TYPES_BURNREPORT_H
