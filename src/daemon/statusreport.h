#ifndef SAPPHIREMOOR_DAEMON_STATUSREPORT_H
#define SAPPHIREMOOR_DAEMON_STATUSREPORT_H

#include "daemon/configservice.h"
#include "daemon/jobexecutor.h"
#include "daemon/jobrouter.h"
#include "daemon/membershipservice.h"
#include "leases/backendtable.h"

#include <string>

namespace sapphiremoor {

/// Sources of the status report of a VM.
struct StatusSources {
  const MembershipService &Membership;
  const ConfigService &Config;
  const BackendTable &Backends;
  const JobExecutor &Executor;
  const JobRouter &Router;
};

/// Returns the status of this VM, its peers and backend servers as JSON.
std::string statusJson(const StatusSources &Sources, Instant Now);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_STATUSREPORT_H
