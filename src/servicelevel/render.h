#ifndef SAPPHIREMOOR_SERVICELEVEL_RENDER_H
#define SAPPHIREMOOR_SERVICELEVEL_RENDER_H

#include "framework/core/result.h"
#include "servicelevel/types/burnreport.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Renders a report as a table for terminals. Each service, followed by each of
/// its teams, has one line for availability and one for latency.
std::string renderTable(const BurnReport &Report);

/// Renders a report as a JSON object with counts and derived values.
std::string renderJson(const BurnReport &Report);

/// Parses the output of renderJson(). Returns BadJson for anything else.
Result<BurnReport> parseReport(std::string_view Json);

/// Renders the burn rates of each service in each window as an SVG image with
/// one panel for availability and one for latency. It shows at most 8 services,
/// those with the highest burn rates, and the number of services left out.
std::string renderSvg(const BurnReport &Report);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_RENDER_H
