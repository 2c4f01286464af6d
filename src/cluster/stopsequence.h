#ifndef SAPPHIREMOOR_CLUSTER_STOPSEQUENCE_H
#define SAPPHIREMOOR_CLUSTER_STOPSEQUENCE_H

#include "framework/net/eventloop.h"
#include "framework/net/timer.h"

#include <functional>

namespace sapphiremoor {

/// A graceful stop on SIGTERM or SIGINT: first new work is turned away, then
/// open connections, and the loop ends once nothing is open, at the latest
/// shortly before the limit.
class StopSequence {
public:
  struct Steps {
    /// Tells others that this VM is leaving.
    std::function<void()> AnnounceLeaving;
    /// Turns away callers that have not noticed; called several times.
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
