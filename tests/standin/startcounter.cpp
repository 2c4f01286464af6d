#include "startcounter.h"

#include <fcntl.h>
#include <unistd.h>

#include <functional>

namespace sapphiremoor::standin {

StartCounter::StartCounter(const std::string &FileName) {
  if (FileName.empty())
    return;
  File =
      open(FileName.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  Good = File >= 0;
}

StartCounter::~StartCounter() {
  if (File >= 0)
    close(File);
}

void StartCounter::started(const std::string &Task) {
  Total += 1;
  if (!Seen.insert(std::hash<std::string>()(Task)).second)
    Repeated += 1;
  if (File < 0)
    return;
  // One unbuffered write, so that the line is complete even if the process is
  // killed next.
  const std::string Line = Task + "\n";
  Good = write(File, Line.data(), Line.size()) ==
             static_cast<ssize_t>(Line.size()) &&
         Good;
}

} // namespace sapphiremoor::standin
