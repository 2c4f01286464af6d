#ifndef SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENTLOG_H
#define SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENTLOG_H

#include "framework/eventlog/event.h"

#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// Names and values of the further fields of an event.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// The identity of a daemon, which every log line carries.
struct LogIdentity {
  std::string Vm;
  std::string DataCentre;
};

/// Configures the process-wide log: lines go to standard output and carry
/// \p Identity. Call once, before the first event.
void configureLog(const LogIdentity &Identity);

/// Formats one event as a JSON object on one line, without a timestamp.
std::string formatEvent(const Event &LoggedEvent, const LogIdentity &Identity,
                        const Fields &Values);

/// Writes one event to the process-wide log.
void logEvent(const Event &LoggedEvent, const Fields &Values = {});

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENTLOG_H
