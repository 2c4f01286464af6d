#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H

#include "framework/core/time.h"

#include <string>

namespace sapphiremoor {

/// Formats a burn rate with at least three significant digits, or two decimals
/// if it is below 1, for example "0.25", "14.4" or "1000".
std::string formatBurn(double Burn);

/// Formats the label of an axis tick, without trailing zeros.
std::string formatTick(double Value);

/// Formats a share as a percentage with at most three decimals.
std::string formatPercent(double Share);

/// Formats the remaining share of a budget as a percentage with one decimal.
std::string formatBudget(double Share);

/// Formats a time in milliseconds, for example "250 ms".
std::string formatMilliseconds(Duration Time);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H
