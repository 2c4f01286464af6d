#include "leases/internal/lifecycle.h"

#include <cstdlib>

namespace sapphiremoor::charts {
extern const char *const BackendChart;
} // namespace sapphiremoor::charts

namespace sapphiremoor::detail {

namespace {

/// Stops the process if the built-in chart lacks a name, which is a programming
/// error.
template <typename T> T required(std::optional<T> Id) {
  if (!Id)
    std::abort();
  return *Id;
}

LifeCycle loadLifeCycle() {
  auto Parsed = parseChart(charts::BackendChart);
  if (isError(Parsed))
    std::abort();
  Chart Machine = takeValue(std::move(Parsed));
  const auto State = [&](const char *Name) {
    return required(Machine.findState(Name));
  };
  const auto Event = [&](const char *Name) {
    return required(Machine.findEvent(Name));
  };
  const auto Action = [&](const char *Name) {
    return required(Machine.findAction(Name));
  };
  return {.Machine = Machine,
          .Serving = State("serving"),
          .Draining = State("draining"),
          .Leaving = State("leaving"),
          .Announce = Event("announce"),
          .ChangeReceived = Event("change_received"),
          .TakeOver = Event("take_over"),
          .Contact = Event("contact"),
          .Drain = Event("drain"),
          .Undrain = Event("undrain"),
          .Leave = Event("leave"),
          .ConnectFailed = Event("connect_failed"),
          .Expire = Event("expire"),
          .StartLease = Action("start_lease"),
          .ExtendLease = Action("extend_lease"),
          .StartHold = Action("start_hold")};
}

} // namespace

const LifeCycle &lifeCycle() {
  static const LifeCycle Instance = loadLifeCycle();
  return Instance;
}

} // namespace sapphiremoor::detail
