#ifndef SAPPHIREMOOR_SERVICELEVEL_RENDER_H
#define SAPPHIREMOOR_SERVICELEVEL_RENDER_H

#include "framework/core/result.h"
#include "servicelevel/types/burnreport.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Renders a report as a table for terminals: for each service, then for each
/// of its teams, one line for availability and one for latency.
std::string renderTable(const BurnReport &Report);

/// Renders a report as a JSON object that holds counts and derived numbers.
std::string renderJson(const BurnReport &Report);

/// Reads what renderJson() wrote; BadJson for anything else.
Result<BurnReport> parseReport(std::string_view Json);

/// Renders the burn rates of each service over the windows as an SVG image: one
/// panel for availability and one for latency. At most 8 services are shown,
/// those with the highest burn rates; the image says how many are left out.
std::string renderSvg(const BurnReport &Report);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_RENDER_H
