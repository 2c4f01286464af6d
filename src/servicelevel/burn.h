#ifndef SAPPHIREMOOR_SERVICELEVEL_BURN_H
#define SAPPHIREMOOR_SERVICELEVEL_BURN_H

#include "servicelevel/types/burnreport.h"
#include "servicelevel/types/servicelevelstate.h"

#include <vector>

namespace sapphiremoor {

/// Returns the share of lost requests divided by the share that the
/// availability objective allows: 1 spends the whole budget exactly, 0 means
/// that nothing was lost or nothing was answered.
double availabilityBurn(const OutcomeCounts &Counts,
                        const Objectives &Objective);

/// Returns the share of slow requests among the complete ones, divided by the
/// share that the latency objective allows.
double latencyBurn(const OutcomeCounts &Counts, const Objectives &Objective);

/// Returns the share of the availability budget of the last 3 days that is
/// left; negative if more was spent.
double availabilityBudgetLeft(const BurnRow &Row);

/// The same for the latency budget.
double latencyBudgetLeft(const BurnRow &Row);

/// Counts the windows that end with the minute \p Now, which is included.
/// Services without requests have a row without counts and with an empty team;
/// services that are not in \p Config have no objectives and are left out. The
/// caller adds its VM's name.
BurnReport buildReport(const ServiceLevelState &State,
                       const ServiceConfig &Config, Minute Now);

/// Adds the reports of several VMs. Where they differ in an objective, because
/// a VM has not got the last change yet, the first report's is taken.
BurnReport mergeReports(const std::vector<BurnReport> &Reports);

/// Returns one row for each service, the sum over its teams.
std::vector<BurnRow> serviceTotals(const BurnReport &Report);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_BURN_H
