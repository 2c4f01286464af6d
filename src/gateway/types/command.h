#ifndef SAPPHIREMOOR_GATEWAY_TYPES_COMMAND_H
#define SAPPHIREMOOR_GATEWAY_TYPES_COMMAND_H

#include "framework/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sapphiremoor {

struct IssuePrefixCommand {};
struct SubmitCommand {
  std::string Key;
  bool Single = false;
  std::optional<Duration> Wait;
};
/// A single request without a key; only for idempotent services.
struct RunIdempotentCommand {};
struct FetchCommand {
  std::string Key;
  std::optional<Duration> Wait;
};
struct CancelCommand {
  std::string Key;
};
struct ShowStatusCommand {};
struct ShowMetricsCommand {};
struct ShowBurnCommand {
  std::string Format;
};
struct ShowConfigCommand {
  bool History = false;
};
struct ChangeConfigCommand {
  std::string Name;
  bool Remove = false;
  uint64_t ExpectedRevision = 0;
  std::string RequestId;
};
struct ChangeVoterCommand {
  std::string Name;
  bool Remove = false;
};
struct AnnounceCommand {
  std::string Id;
};
struct LeaveCommand {
  std::string Id;
};
struct DrainCommand {
  std::string Id;
  bool Undo = false;
};

/// A request whose path and query have been validated.
using Command =
    std::variant<IssuePrefixCommand, SubmitCommand, RunIdempotentCommand,
                 FetchCommand, CancelCommand, ShowStatusCommand,
                 ShowMetricsCommand, ShowBurnCommand, ShowConfigCommand,
                 ChangeConfigCommand, ChangeVoterCommand, AnnounceCommand,
                 LeaveCommand, DrainCommand>;

/// Who may send a command.
enum class Role { Caller, Operator, Backend };

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_TYPES_COMMAND_H
