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
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (const std::string &Text : Arguments)
    Pointers.push_back(const_cast<char *>(Text.c_str()));
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  const int Failure = posix_spawn(&Id, Arguments[0].c_str(), &Actions, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failure != 0)
    throw std::runtime_error("cannot start " + Arguments[0]);
}

Process::~Process() { kill(); }

void Process::signal(int Number) const {
  if (Id > 0)
    ::kill(Id, Number);
}

bool Process::ended() {
  if (Id <= 0)
    return true;
  int Status = 0;
  if (waitpid(Id, &Status, WNOHANG) != Id)
    return false;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  Id = -1;
  return true;
}

void Process::kill() {
  if (Id <= 0)
    return;
  ::kill(Id, SIGKILL);
  waitpid(Id, nullptr, 0);
  Id = -1;
}

} // namespace sapphiremoor::endtoend
