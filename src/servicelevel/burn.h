#ifndef SAPPHIREMOOR_SERVICELEVEL_BURN_H
#define SAPPHIREMOOR_SERVICELEVEL_BURN_H

#include "servicelevel/types/burnreport.h"
#include "servicelevel/types/servicelevelstate.h"

#include <vector>

namespace sapphiremoor {

/// Returns the share of lost requests divided by the share that the
/// availability objective allows. At 1 the error budget is spent exactly.
/// Returns 0 if no request was lost or none was answered.
double availabilityBurn(const OutcomeCounts &Counts,
                        const Objectives &Objective);

/// Returns the share of slow requests among the successful ones, divided by the
/// share that the latency objective allows.
double latencyBurn(const OutcomeCounts &Counts, const Objectives &Objective);

/// Returns the share of the availability budget of the last 3 days that is
/// left. It is negative if the budget is overspent.
double availabilityBudgetLeft(const BurnRow &Row);

/// Returns the share of the latency budget of the last 3 days that is left.
double latencyBudgetLeft(const BurnRow &Row);

/// Builds the report of the windows that end with the minute \p Now, inclusive.
/// A service without requests gets one row with an empty team and zero counts.
/// Services that are not in \p Config have no objectives and are left out. The
/// caller adds the name of its VM.
BurnReport buildReport(const ServiceLevelState &State,
                       const ServiceConfig &Config, Minute Now);

/// Merges the reports of several VMs. If they differ in an objective, because a
/// VM has not received the latest change yet, the first report's objective is
/// used.
BurnReport mergeReports(const std::vector<BurnReport> &Reports);

/// Returns one row per service with the sum over its teams.
std::vector<BurnRow> serviceTotals(const BurnReport &Report);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_BURN_H
