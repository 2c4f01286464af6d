#ifndef SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H
#define SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H

#include "framework/net/eventloop.h"
#include "framework/net/timer.h"

#include <functional>

namespace sapphiremoor {

/// Detects a pause of this process: the process was stopped, or its VM was
/// suspended. Input that arrived during the pause is outdated, and other VMs
/// may have changed their view of this VM, so the owner must check its state
/// before it acts on any input.
class StallWatch {
public:
  /// Calls \p OnStall once for each pause that exceeds \p Limit.
  StallWatch(EventLoop &Loop, Duration Limit, std::function<void()> OnStall);

  /// Checks for a pause since the last check and returns true if it exceeded
  /// the limit. Call it before acting on input.
  bool check();

private:
  Duration Limit;
  std::function<void()> OnStall;
  /// Time of the last check, counted from boot and including suspended time.
  Duration LastCheck;
  Timer CheckTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H
