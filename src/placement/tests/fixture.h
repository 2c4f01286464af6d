#ifndef SAPPHIREMOOR_PLACEMENT_TESTS_FIXTURE_H
#define SAPPHIREMOOR_PLACEMENT_TESTS_FIXTURE_H

#include "placement/placement.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sapphiremoor::testing {

inline Instant at(int64_t Ms) { return instantAt(Duration{Ms * 1000}); }
inline Duration ms(int64_t Count) { return Duration{Count * 1000}; }

inline BackendSpec backendSpec(const std::string &Id, uint32_t Slots,
                               const std::string &Rack = "r1") {
  return {Id, "w-" + Id, Rack, {"quote"}, Slots};
}

/// Returns a state with the service "quote" and the teams "alpha" and "beta"
/// with equal shares.
inline PlacementState
makeState(bool Idempotent = false,
          ServiceWeight Weight = ServiceWeight::ResponseTime) {
  PlacementState State;
  setServices(State, {{"quote", Idempotent, Weight, ms(100)}});
  setTeams(State, {{"alpha", 1.0}, {"beta", 1.0}});
  return State;
}

inline JobSpec jobSpec(const std::string &Team, uint32_t Tasks) {
  return {.Team = Team, .Service = "quote", .TaskCount = Tasks};
}

inline JobSpec requestSpec(const std::string &Team) {
  return {
      .Team = Team, .Service = "quote", .TaskCount = 1, .SingleRequest = true};
}

inline void finishAll(PlacementState &State, std::vector<TaskStart> &Starts,
                      TaskOutcome Outcome, Duration RunTime, Instant Now) {
  for (const TaskStart &Start : Starts)
    taskFinished(State, Start, Outcome, RunTime, Now);
  Starts.clear();
}

inline auto countStarts(const std::vector<TaskStart> &Starts,
                        const std::string &Id) {
  return std::ranges::count(Starts, Id, &TaskStart::BackendId);
}

} // namespace sapphiremoor::testing

#endif // SAPPHIREMOOR_PLACEMENT_TESTS_FIXTURE_H
