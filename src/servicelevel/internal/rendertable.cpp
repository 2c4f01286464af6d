#include "servicelevel/burn.h"
#include "servicelevel/internal/numbers.h"
#include "servicelevel/render.h"

#include <algorithm>
#include <array>
#include <vector>

namespace sapphiremoor {

namespace {

constexpr std::size_t ColumnCount = 7 + BurnWindows.size();
using Line = std::array<std::string, ColumnCount>;

Line headingLine() {
  Line Heading{"service", "team", "objective"};
  for (std::size_t I = 0; I < BurnWindows.size(); ++I)
    Heading[3 + I] = BurnWindows[I].Label;
  Heading[7] = "budget left";
  Heading[8] = "bad";
  Heading[9] = "of";
  Heading[10] = "refused";
  return Heading;
}

/// Sets the burn rates, or "-" for windows without requests.
template <typename BurnFunction, typename TotalFunction>
void setBurn(Line &Target, const BurnRow &Row, BurnFunction Burn,
             TotalFunction Total) {
  for (std::size_t I = 0; I < BurnWindows.size(); ++I) {
    const OutcomeCounts &Counts = Row.Windows[I];
    Target[3 + I] =
        Total(Counts) == 0 ? "-" : formatBurn(Burn(Counts, Row.Objectives));
  }
}

Line availabilityLine(const BurnRow &Row) {
  const OutcomeCounts &Counts = Row.Windows.back();
  Line Target{Row.Service, Row.Team.empty() ? "(all)" : Row.Team,
              formatPercent(Row.Objectives.Availability) + " succeed"};
  setBurn(Target, Row, availabilityBurn,
          [](const OutcomeCounts &C) { return C.answered(); });
  Target[7] = formatBudget(availabilityBudgetLeft(Row));
  Target[8] = std::to_string(Counts.lost());
  Target[9] = std::to_string(Counts.answered());
  Target[10] = std::to_string(Counts.Refused);
  return Target;
}

Line latencyLine(const BurnRow &Row) {
  const OutcomeCounts &Counts = Row.Windows.back();
  Line Target{"", "",
              formatPercent(Row.Objectives.LatencyShare) + " within " +
                  formatMilliseconds(Row.Objectives.Latency)};
  setBurn(Target, Row, latencyBurn,
          [](const OutcomeCounts &C) { return C.succeeded(); });
  Target[7] = formatBudget(latencyBudgetLeft(Row));
  Target[8] = std::to_string(Counts.Slow);
  Target[9] = std::to_string(Counts.succeeded());
  return Target;
}

void addLines(std::vector<Line> &Lines, const BurnRow &Row) {
  Lines.push_back(availabilityLine(Row));
  Lines.push_back(latencyLine(Row));
}

std::string formatTable(const std::vector<Line> &Lines) {
  std::array<std::size_t, ColumnCount> Widths{};
  for (const Line &Cells : Lines)
    for (std::size_t I = 0; I < ColumnCount; ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  constexpr std::size_t FirstNumber = 3;
  std::string Table;
  for (const Line &Cells : Lines) {
    std::string Row;
    for (std::size_t I = 0; I < ColumnCount; ++I) {
      const std::string Padding(Widths[I] - Cells[I].size(), ' ');
      Row += I < FirstNumber ? Cells[I] + Padding : Padding + Cells[I];
      Row += "  ";
    }
    Row.erase(Row.find_last_not_of(' ') + 1);
    Table += Row + "\n";
  }
  return Table;
}

} // namespace

std::string renderTable(const BurnReport &Report) {
  std::vector<Line> Lines{headingLine()};
  for (const BurnRow &Total : serviceTotals(Report)) {
    addLines(Lines, Total);
    for (const BurnRow &Row : Report.Rows)
      if (Row.Service == Total.Service && !Row.Team.empty())
        addLines(Lines, Row);
  }
  return "Burn rates: 1 spends the error budget exactly. Budget, bad and "
         "refused are those of the last 3 days.\n" +
         formatTable(Lines);
}

} // namespace sapphiremoor
