#ifndef SAPPHIREMOOR_TESTS_ENDTOEND_PROCESS_H
#define SAPPHIREMOOR_TESTS_ENDTOEND_PROCESS_H

#include <string>
#include <vector>

#include <sys/types.h>

namespace sapphiremoor::endtoend {

/// A child process of a test. The destructor kills it.
class Process {
public:
  /// Starts the program \p Arguments[0] and appends its standard output and
  /// standard error to \p LogFile.
  Process(const std::vector<std::string> &Arguments,
          const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int SignalNumber) const;
  /// Returns true once the process has ended.
  bool hasEnded();
  /// Kills the process and waits for its end.
  void kill();
  /// Exit status, valid once hasEnded() returns true; -1 if a signal ended the
  /// process.
  int exitCode() const { return ExitCode; }

private:
  pid_t ProcessId = -1;
  int ExitCode = -1;
};

} // namespace sapphiremoor::endtoend

#endif // SAPPHIREMOOR_TESTS_ENDTOEND_PROCESS_H
