#include "servicelevel/internal/burnplot.h"
#include "servicelevel/render.h"

namespace sapphiremoor {

std::string renderSvg(const BurnReport &Report) {
  return BurnPlot(Report).render();
}

} // namespace sapphiremoor
