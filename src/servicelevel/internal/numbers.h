#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H

#include "framework/core/time.h"

#include <string>

namespace sapphiremoor {

/// Returns a burn rate with at least three significant digits, for example
/// "0.25", "14.4" or "1000".
std::string formatBurn(double Burn);

/// Returns a mark on an axis, without trailing zeros.
std::string formatTick(double Value);

/// Returns a share as a percentage with at most three decimals.
std::string formatPercent(double Share);

/// Returns what is left of a budget as a percentage with one decimal.
std::string formatBudget(double Share);

/// Returns a time in milliseconds, for example "250 ms".
std::string formatMilliseconds(Duration Time);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_NUMBERS_H
