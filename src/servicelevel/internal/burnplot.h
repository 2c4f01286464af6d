#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H

#include "servicelevel/internal/svgwriter.h"
#include "servicelevel/types/burnreport.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor {

/// Draws two panels of grouped bars, one group for each window and one bar for
/// each service.
class BurnPlot {
public:
  explicit BurnPlot(const BurnReport &Report);

  /// Returns the image; call once.
  std::string render();

private:
  /// A burn rate of some counts, for one of the two objectives.
  using Rate = double (*)(const OutcomeCounts &, const Objectives &);

  /// One of the two plots.
  struct Panel {
    std::string_view Title;
    Rate Burn;
    double Top;
    /// The burn rate at the upper end of the axis.
    double Highest;
  };

  void drawHeading(const BurnReport &Report);
  void drawPanel(std::string_view Title, Rate Burn, double Top);
  void drawAxes(const Panel &Drawn);
  void drawGroup(const Panel &Drawn, std::size_t Window);
  void drawBar(const Panel &Drawn, std::size_t Window, std::size_t Service);
  void drawLegend();
  double highest(Rate Burn) const;

  /// The services shown, sorted by name.
  std::vector<BurnRow> Services;
  std::size_t LeftOut = 0;
  SvgWriter Image;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_BURNPLOT_H
