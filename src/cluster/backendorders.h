#ifndef SAPPHIREMOOR_CLUSTER_BACKENDORDERS_H
#define SAPPHIREMOOR_CLUSTER_BACKENDORDERS_H

#include "dispatch/types/control.h"

#include <functional>
#include <variant>

namespace sapphiremoor {

using PollAnswer = std::variant<RunList, PollFailure>;

/// Functions that send orders to backend servers. Each of them calls its
/// handler exactly once, with the answer.
struct BackendOrders {
  std::function<void(const StartOrder &, std::function<void(StartAnswer)>)>
      Start;
  std::function<void(const StopOrder &, std::function<void(StopAnswerKind)>)>
      Stop;
  std::function<void(const PollOrder &, std::function<void(PollAnswer)>)> Poll;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_BACKENDORDERS_H
