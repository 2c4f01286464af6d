#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

extern char **environ;

namespace sapphiremoor::endtoend {

Process::Process(const std::vector<std::string> &Arguments,
                 const std::string &LogFile) {
  std::vector<char *> ArgumentPointers;
  ArgumentPointers.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    ArgumentPointers.push_back(const_cast<char *>(Argument.c_str()));
  ArgumentPointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  const int SpawnError = posix_spawn(&ProcessId, Arguments[0].c_str(), &Actions,
                                     nullptr, ArgumentPointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (SpawnError != 0)
    throw std::runtime_error("cannot start " + Arguments[0] +
                             ": check that it is built and executable");
}

Process::~Process() { kill(); }

void Process::signal(int SignalNumber) const {
  if (ProcessId > 0)
    ::kill(ProcessId, SignalNumber);
}

bool Process::hasEnded() {
  if (ProcessId <= 0)
    return true;
  int Status = 0;
  if (waitpid(ProcessId, &Status, WNOHANG) != ProcessId)
    return false;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  ProcessId = -1;
  return true;
}

void Process::kill() {
  if (ProcessId <= 0)
    return;
  ::kill(ProcessId, SIGKILL);
  waitpid(ProcessId, nullptr, 0);
  ProcessId = -1;
}

} // namespace sapphiremoor::endtoend
