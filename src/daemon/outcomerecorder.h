#ifndef SAPPHIREMOOR_DAEMON_OUTCOMERECORDER_H
#define SAPPHIREMOOR_DAEMON_OUTCOMERECORDER_H

#include "configuration/types/serviceconfig.h"
#include "daemon/types/peermessage.h"
#include "framework/metrics/registry.h"
#include "servicelevel/types/burnreport.h"
#include "servicelevel/types/servicelevelstate.h"

#include <string>

namespace sapphiremoor {

/// Counts the outcomes of the requests that this VM has answered, for the
/// service-level report and the metrics.
class OutcomeRecorder {
public:
  OutcomeRecorder(std::string VmName, Registry &Metrics);

  /// Counts the answer to one request. Errors are not counted because they are
  /// not the outcome of a key.
  void record(const JobRequest &Job, const JobReplyBody &Body,
              const ServiceConfig &Config, Duration Latency, Instant Now);

  /// Returns the burn report of this VM.
  BurnReport report(const ServiceConfig &Config, Instant Now) const;

private:
  std::string VmName;
  Registry &Metrics;
  ServiceLevelState State;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_OUTCOMERECORDER_H
