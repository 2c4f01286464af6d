#ifndef SAPPHIREMOOR_FRAMEWORK_STATECHART_TYPES_TRANSITION_H
#define SAPPHIREMOOR_FRAMEWORK_STATECHART_TYPES_TRANSITION_H

#include <cstdint>
#include <span>

namespace sapphiremoor {

/// Index of a state of one chart, in the order of the chart's JSON.
using StateId = uint16_t;

/// Index of an event of one chart, in the order of its list of events.
using EventId = uint16_t;

/// Index of an action of one chart, in the order of its list of actions.
using ActionId = uint16_t;

/// Result of an event: the next state and the actions to perform, in order. The
/// actions are stored in the chart, which must outlive this value.
struct Transition {
  StateId Target = 0;
  std::span<const ActionId> Actions;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STATECHART_TYPES_TRANSITION_H
