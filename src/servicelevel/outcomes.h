#ifndef SAPPHIREMOOR_SERVICELEVEL_OUTCOMES_H
#define SAPPHIREMOOR_SERVICELEVEL_OUTCOMES_H

#include "configuration/types/serviceconfig.h"
#include "framework/core/time.h"
#include "servicelevel/types/requestoutcome.h"
#include "servicelevel/types/servicelevelstate.h"

#include <string>

namespace sapphiremoor {

/// Maximum number of series. With a bucket of 32 bytes for each minute of 3
/// days, this limits the memory to 71 MB in the worst case; 43 teams of 3
/// services take 18 MB.
inline constexpr std::size_t MaxSeries = 512;

/// Team under which requests of further teams are counted once there are
/// MaxSeries series.
inline constexpr const char *OtherTeams = "(other)";

/// Returns Good or Slow for a successful request that took \p Latency.
RequestOutcome classifyLatency(const Objectives &Objective, Duration Latency);

/// Returns the minute that contains \p Now.
Minute toMinute(Instant Now);

/// Counts one request. \p Latency is used for successful requests only. A
/// minute that is 3 days older than the newest one counted is ignored.
void recordOutcome(ServiceLevelState &State, const std::string &Service,
                   const std::string &Team, RequestOutcome Outcome,
                   Duration Latency, Minute Time);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_OUTCOMES_H
