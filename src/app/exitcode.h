#ifndef SAPPHIREMOOR_APP_EXITCODE_H
#define SAPPHIREMOOR_APP_EXITCODE_H

namespace sapphiremoor {

/// Exit codes of the command line.
enum class ExitCode : int {
  Done = 0,
  Failed = 1,
  BadInput = 2,
  NotRun = 3,
  OutcomeUnknown = 4,
  Unreachable = 5,
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_APP_EXITCODE_H
