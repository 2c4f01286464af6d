#ifndef SAPPHIREMOOR_LEASES_INTERNAL_LIFECYCLE_H
#define SAPPHIREMOOR_LEASES_INTERNAL_LIFECYCLE_H

#include "framework/statechart/chart.h"

#include <string>
#include <vector>

namespace sapphiremoor::detail {

/// State chart of a backend server, with the identifiers of its states, events
/// and actions.
struct LifeCycle {
  Chart Machine;
  StateId Serving;
  StateId Draining;
  StateId Leaving;
  EventId Announce;
  EventId ChangeReceived;
  EventId TakeOver;
  EventId Contact;
  EventId Drain;
  EventId Undrain;
  EventId Leave;
  EventId ConnectFailed;
  EventId Expire;
  ActionId StartLease;
  ActionId ExtendLease;
  ActionId StartHold;
};

/// Returns the built-in life cycle. Stops the process if the built-in chart is
/// invalid.
const LifeCycle &lifeCycle();

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_LEASES_INTERNAL_LIFECYCLE_H
