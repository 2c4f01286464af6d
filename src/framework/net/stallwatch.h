#ifndef SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H
#define SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H

#include "framework/net/eventloop.h"
#include "framework/net/timer.h"

#include <functional>

namespace sapphiremoor {

/// Notices that this process stood still: it was stopped, or its VM was
/// suspended. What arrived meanwhile is old, and what others believed of this
/// VM may have changed, so the owner has to look before it acts on any input.
class StallWatch {
public:
  /// \p OnStall is called once for each time of standing still that exceeds
  /// \p Limit.
  StallWatch(EventLoop &Loop, Duration Limit, std::function<void()> OnStall);

  /// Checks now; call it before input is acted on. Returns true if the process
  /// has stood still since the last check.
  bool check();

private:
  Duration Limit;
  std::function<void()> OnStall;
  /// Time since the boot, with suspended time, of the last sign of life.
  Duration LastCheck;
  Timer CheckTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_STALLWATCH_H
