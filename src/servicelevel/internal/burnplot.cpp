#include "servicelevel/internal/burnplot.h"

#include "servicelevel/burn.h"
#include "servicelevel/internal/numbers.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace sapphiremoor {

namespace {

constexpr double ImageWidth = 960;
constexpr double ImageHeight = 640;
constexpr double PlotLeft = 70;
constexpr double PlotRight = 760;
constexpr double PlotHeight = 200;
constexpr double FirstPanelTop = 90;
constexpr double SecondPanelTop = 370;
constexpr double TitleSize = 18;
constexpr double LabelSize = 12;
constexpr double ValueSize = 10;
/// Font size of the values above narrow bars. It is smaller, so that they do
/// not overlap.
constexpr double SmallValueSize = 8;
constexpr double NarrowBarWidth = 26;
constexpr std::size_t MaxNameLength = 22;
constexpr std::size_t MaxNoteLength = 120;
/// Share of the width of a group that its bars fill.
constexpr double GroupFill = 0.92;
constexpr double MaxBarWidth = 40;
constexpr double TickCount = 4;

/// Palette of Okabe and Ito. Its colours are distinct for readers with colour
/// vision deficiency.
constexpr std::array<std::string_view, 8> Colours{
    "#0072b2", "#e69f00", "#009e73", "#d55e00",
    "#56b4e9", "#cc79a7", "#f0e442", "#000000"};

/// Returns the smallest of 1, 2, 4, 10, 20, 40, ... that is at least \p Value.
/// These numbers divide into four ticks without long fractions.
double axisEnd(double Value) {
  double Power = 1;
  while (Power * 10 < Value)
    Power *= 10;
  for (const double Step : {1.0, 2.0, 4.0})
    if (Value <= Power * Step)
      return Power * Step;
  return Power * 10;
}

double highestBurnRate(const BurnRow &Row) {
  double Worst = 0;
  for (const OutcomeCounts &Counts : Row.Windows)
    Worst = std::max({Worst, availabilityBurn(Counts, Row.Objectives),
                      latencyBurn(Counts, Row.Objectives)});
  return Worst;
}

/// Returns the services with the highest burn rates, sorted by name.
std::vector<BurnRow> chooseServices(const BurnReport &Report) {
  std::vector<BurnRow> Rows = serviceTotals(Report);
  std::ranges::stable_sort(Rows, std::ranges::greater{}, highestBurnRate);
  Rows.resize(std::min(Rows.size(), Colours.size()));
  std::ranges::sort(Rows, {}, &BurnRow::Service);
  return Rows;
}

double groupWidth() {
  return (PlotRight - PlotLeft) / static_cast<double>(BurnWindows.size());
}

std::string shorten(const std::string &Text, std::size_t Limit) {
  return Text.size() <= Limit ? Text : Text.substr(0, Limit - 3) + "...";
}

std::string join(const std::vector<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ", ") + Name;
  return Joined;
}

} // namespace

BurnPlot::BurnPlot(const BurnReport &Report)
    : Services(chooseServices(Report)), Image(ImageWidth, ImageHeight) {
  HiddenServiceCount = serviceTotals(Report).size() - Services.size();
  drawHeading(Report);
}

std::string BurnPlot::render() {
  drawPanel("Availability", availabilityBurn, FirstPanelTop);
  drawPanel("Latency", latencyBurn, SecondPanelTop);
  drawLegend();
  return Image.finish();
}

void BurnPlot::drawHeading(const BurnReport &Report) {
  Image.drawText({PlotLeft, 30}, "Error budget burn rate by service",
                 TitleSize);
  std::string Note = "1 spends the error budget exactly (dashed line)";
  if (!Report.Vms.empty())
    Note += "; counted by " + join(Report.Vms);
  Image.drawText({PlotLeft, 50}, shorten(Note, MaxNoteLength), LabelSize);
}

void BurnPlot::drawPanel(std::string_view Title, BurnFunction Burn,
                         double Top) {
  // The line at 1 must always be visible, so the axis reaches at least 2.
  const Panel CurrentPanel{Title, Burn, Top,
                           axisEnd(std::max(2.0, highestRate(Burn)))};
  drawAxes(CurrentPanel);
  for (std::size_t I = 0; I < BurnWindows.size(); ++I)
    drawGroup(CurrentPanel, I);
  const double LineY = Top + PlotHeight * (1 - 1 / CurrentPanel.AxisMax);
  Image.drawLine({PlotLeft, LineY}, {PlotRight, LineY}, "#b00020", true);
}

void BurnPlot::drawAxes(const Panel &CurrentPanel) {
  const double Bottom = CurrentPanel.Top + PlotHeight;
  Image.drawText({PlotLeft, CurrentPanel.Top - 10}, CurrentPanel.Title,
                 LabelSize + 2);
  for (double Tick = 0; Tick <= TickCount; ++Tick) {
    const double Y = Bottom - PlotHeight * Tick / TickCount;
    Image.drawLine({PlotLeft, Y}, {PlotRight, Y}, "#dddddd");
    Image.drawText({PlotLeft - 8, Y + 4},
                   formatTick(CurrentPanel.AxisMax * Tick / TickCount),
                   LabelSize, SvgAnchor::End);
  }
  Image.drawLine({PlotLeft, CurrentPanel.Top}, {PlotLeft, Bottom}, "#222222");
  Image.drawLine({PlotLeft, Bottom}, {PlotRight, Bottom}, "#222222");
  Image.drawVerticalText({20, CurrentPanel.Top + PlotHeight / 2}, "burn rate",
                         LabelSize);
  Image.drawText({(PlotLeft + PlotRight) / 2, Bottom + 38},
                 "window that ends now", LabelSize, SvgAnchor::Middle);
}

void BurnPlot::drawGroup(const Panel &CurrentPanel, std::size_t Window) {
  const double Centre =
      PlotLeft + groupWidth() * (static_cast<double>(Window) + 0.5);
  Image.drawText({Centre, CurrentPanel.Top + PlotHeight + 18},
                 BurnWindows[Window].Label, LabelSize, SvgAnchor::Middle);
  for (std::size_t I = 0; I < Services.size(); ++I)
    drawBar(CurrentPanel, Window, I);
}

void BurnPlot::drawBar(const Panel &CurrentPanel, std::size_t Window,
                       std::size_t Service) {
  const auto Count = static_cast<double>(Services.size());
  const double Width = std::min(MaxBarWidth, groupWidth() * GroupFill / Count);
  const double Centre =
      PlotLeft + groupWidth() * (static_cast<double>(Window) + 0.5);
  const double Left =
      Centre + Width * (static_cast<double>(Service) - Count / 2);
  const BurnRow &Row = Services[Service];
  const double Burn = CurrentPanel.Burn(Row.Windows[Window], Row.Objectives);
  if (Burn == 0)
    return;
  const double Height = PlotHeight * Burn / CurrentPanel.AxisMax;
  const double Top = CurrentPanel.Top + PlotHeight - Height;
  const std::string Value = formatBurn(Burn);
  Image.drawBox({{Left + 1, Top}, Width - 2, Height}, Colours[Service],
                Row.Service + ", " + std::string(BurnWindows[Window].Label) +
                    ": " + Value);
  Image.drawText({Left + Width / 2, Top - 4}, Value,
                 Width < NarrowBarWidth ? SmallValueSize : ValueSize,
                 SvgAnchor::Middle);
}

void BurnPlot::drawLegend() {
  constexpr double Left = PlotRight + 24;
  constexpr double RowHeight = 22;
  constexpr double KeySize = 12;
  double Y = FirstPanelTop;
  Image.drawText({Left, Y}, "Service", LabelSize);
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Y += RowHeight;
    Image.drawBox({{Left, Y - KeySize + 2}, KeySize, KeySize}, Colours[I]);
    Image.drawText({Left + KeySize + 8, Y},
                   shorten(Services[I].Service, MaxNameLength), LabelSize);
  }
  if (HiddenServiceCount > 0)
    Image.drawText({Left, Y + RowHeight},
                   std::to_string(HiddenServiceCount) + " more not shown",
                   LabelSize);
  if (Services.empty())
    Image.drawText({Left, Y + RowHeight}, "no service", LabelSize);
}

double BurnPlot::highestRate(BurnFunction Burn) const {
  double AxisMax = 0;
  for (const BurnRow &Row : Services)
    for (const OutcomeCounts &Counts : Row.Windows)
      AxisMax = std::max(AxisMax, Burn(Counts, Row.Objectives));
  return AxisMax;
}

} // namespace sapphiremoor
