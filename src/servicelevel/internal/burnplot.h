#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H

#include "servicelevel/internal/svgwriter.h"
#include "servicelevel/types/burnreport.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Draws two panels of grouped bars, with one group per window and one bar per
/// service.
class BurnPlot {
public:
  explicit BurnPlot(const BurnReport &Report);

  /// Returns the image. May be called only once.
  std::string render();

private:
  /// Computes the burn rate of one of the two objectives.
  using BurnFunction = double (*)(const OutcomeCounts &, const Objectives &);

  /// One of the two panels of the plot.
  struct Panel {
    std::string_view Title;
    BurnFunction Burn;
    double Top;
    /// Burn rate at the upper end of the axis.
    double AxisMax;
  };

  void drawHeading(const BurnReport &Report);
  void drawPanel(std::string_view Title, BurnFunction Burn, double Top);
  void drawAxes(const Panel &CurrentPanel);
  void drawGroup(const Panel &CurrentPanel, std::size_t Window);
  void drawBar(const Panel &CurrentPanel, std::size_t Window,
               std::size_t Service);
  void drawLegend();
  double highestRate(BurnFunction Burn) const;

  /// Services shown, sorted by name.
  std::vector<BurnRow> Services;
  std::size_t HiddenServiceCount = 0;
  SvgWriter Image;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H
