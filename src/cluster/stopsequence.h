#ifndef SAPPHIREMOOR_CLUSTER_STOPSEQUENCE_H
#define SAPPHIREMOOR_CLUSTER_STOPSEQUENCE_H

#include "framework/net/eventloop.h"
#include "framework/net/timer.h"

#include <functional>

namespace sapphiremoor {

/// Stops the process gracefully on SIGTERM or SIGINT. It first announces the
/// stop, then closes connections, and ends the event loop once nothing is open,
/// at the latest shortly before the limit.
class StopSequence {
public:
  struct Steps {
    /// Announces to other VMs and to the load balancer that this VM is leaving.
    std::function<void()> AnnounceLeaving;
    /// Closes connections of callers that still use this VM. Called several
    /// times.
    std::function<void()> CloseConnections;
    std::function<bool()> IsIdle;
  };

  StopSequence(EventLoop &Loop, Duration Limit, Steps StopSteps);

private:
  void begin();
  void check();

  EventLoop &Loop;
  Duration Limit;
  Steps StopSteps;
  bool Stopping = false;
  Instant StopRequestedAt;
  int IdleChecks = 0;
  Timer CheckTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_STOPSEQUENCE_H
