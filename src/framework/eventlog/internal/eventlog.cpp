#include "framework/eventlog/eventlog.h"

#include "framework/eventlog/linebudget.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>

#include <array>

INITIALIZE_EASYLOGGINGPP

namespace sapphiremoor {

namespace {

LogIdentity &processIdentity() {
  static LogIdentity Identity;
  return Identity;
}

std::string_view levelName(Level Severity) {
  switch (Severity) {
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "error";
}

constexpr std::array AllEvents{
    events::Started,          events::Stopping,
    events::Stopped,          events::SettingsRejected,
    events::PeerUp,           events::PeerDown,
    events::FrameRejected,    events::DispatcherChanged,
    events::TrustedNetwork,   events::StoodStill,
    events::AcceptFailed,     events::BackendJoined,
    events::BackendLeaving,   events::BackendExpired,
    events::BackendEjected,   events::OwnershipChanged,
    events::OwnerTagTaken,    events::JobDecided,
    events::JobRefused,       events::PrefixSealed,
    events::RequestRejected,  events::JobDispatched,
    events::RunDecided,       events::JobAnswered,
    events::LinesDropped,     events::AdmissionRefused,
    events::JobStored,        events::StoredJobEnded,
    events::JobsTakenOver,    events::JobsHandedOver,
    events::EndsForgotten,    events::EndsReportedAgain,
    events::LeaderElected,    events::ChangeAccepted,
    events::ChangeInForce,    events::StorageFailed,
    events::LogRecovered,     events::ChunkRejected,
    events::VotersChanging,   events::ChangeRefused,
    events::JobsRecovered,    events::VoterSilent,
    events::VoterHeard,       events::ConfigurationUnavailable,
    events::StorageRecovered, events::ReadinessChanged,
    events::SettingsReloaded};

} // namespace

std::span<const Event> allEvents() { return AllEvents; }

void configureLog(const LogIdentity &Identity) {
  processIdentity() = Identity;
  el::Configurations Conf;
  Conf.setToDefault();
  Conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  Conf.setGlobally(el::ConfigurationType::ToFile, "false");
  Conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", Conf);
}

std::string formatEvent(const Event &LoggedEvent, const LogIdentity &Identity,
                        const Fields &Values) {
  nlohmann::ordered_json Line;
  Line["event"] = LoggedEvent.Number;
  Line["name"] = LoggedEvent.Name;
  Line["level"] = levelName(LoggedEvent.Severity);
  Line["vm"] = Identity.Vm;
  Line["data_centre"] = Identity.DataCentre;
  for (const auto &[Name, Value] : Values)
    Line[Name] = Value;
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

namespace {

/// Maximum rate of log lines of one process. An entry VM writes about 20 lines
/// per second at 150 jobs per second, and some hundreds in an overload.
constexpr uint64_t MaxLinesPerSecond = 400;

int64_t currentSecond() {
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

/// Returns true if standard output accepts a line without blocking. A pipe with
/// a slow reader must not block the event loop.
bool outputWritable() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

void writeLine(const Event &LoggedEvent, const Fields &Values) {
  const std::string Line = formatEvent(LoggedEvent, processIdentity(), Values);
  switch (LoggedEvent.Severity) {
  case Level::Info:
    LOG(INFO) << Line;
    break;
  case Level::Warning:
    LOG(WARNING) << Line;
    break;
  case Level::Error:
    LOG(ERROR) << Line;
    break;
  }
}

} // namespace

void logEvent(const Event &LoggedEvent, const Fields &Values) {
  static LineBudget Budget(MaxLinesPerSecond);
  const int64_t Second = currentSecond();
  const uint64_t Dropped = Budget.takeDropped(Second);
  // Errors are rare and are always written.
  if (!Budget.admit(Second) && LoggedEvent.Severity != Level::Error)
    return;
  if (!outputWritable()) {
    Budget.countDropped(Dropped + 1);
    return;
  }
  if (Dropped > 0)
    writeLine(events::LinesDropped, {{"lines", std::to_string(Dropped)}});
  writeLine(LoggedEvent, Values);
}

} // namespace sapphiremoor
