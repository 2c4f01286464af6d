#include "startcounter.h"

#include <fcntl.h>
#include <unistd.h>

#include <functional>

namespace sapphiremoor::standin {

StartCounter::StartCounter(const std::string &FileName) {
  if (FileName.empty())
    return;
  Fd = open(FileName.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  IsOk = Fd >= 0;
}

StartCounter::~StartCounter() {
  if (Fd >= 0)
    close(Fd);
}

void StartCounter::countStart(const std::string &Task) {
  Total += 1;
  if (!TaskHashes.insert(std::hash<std::string>()(Task)).second)
    Repeated += 1;
  if (Fd < 0)
    return;
  // A single unbuffered write keeps the line complete even if the process is
  // killed right after it.
  const std::string Line = Task + "\n";
  IsOk = write(Fd, Line.data(), Line.size()) ==
             static_cast<ssize_t>(Line.size()) &&
         IsOk;
}

} // namespace sapphiremoor::standin
