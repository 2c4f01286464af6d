#include "procstat.h"

#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace sapphiremoor::bench {

namespace {

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

std::string readStatusField(const std::string &Folder,
                            const std::string &Name) {
  std::ifstream Stream(Folder + "/status");
  std::string Line;
  while (std::getline(Stream, Line))
    if (Line.starts_with(Name + ":"))
      return Line.substr(Name.size() + 1);
  return "0";
}

/// Returns the number after \p Name in \p Line, or 0.
uint64_t parseNumberAfter(const std::string &Line, const std::string &Name) {
  const std::size_t Position = Line.find(Name);
  if (Position == std::string::npos)
    return 0;
  uint64_t Value = 0;
  std::from_chars(Line.data() + Position + Name.size(),
                  Line.data() + Line.size(), Value);
  return Value;
}

} // namespace

pid_t findChild(const std::string &Argument) {
  for (const auto &Entry : std::filesystem::directory_iterator("/proc")) {
    const std::string Name = Entry.path().filename();
    if (Name.find_first_not_of("0123456789") != std::string::npos)
      continue;
    if (std::stol(readStatusField(Entry.path(), "PPid")) != getpid())
      continue;
    if (readFile(Entry.path() / "cmdline").find(Argument) != std::string::npos)
      return static_cast<pid_t>(std::stol(Name));
  }
  return -1;
}

double processorSeconds(pid_t Pid) {
  double Seconds = 0;
  const std::string TaskFolder = "/proc/" + std::to_string(Pid) + "/task";
  for (const auto &Entry : std::filesystem::directory_iterator(TaskFolder))
    Seconds += std::stod(readFile(Entry.path() / "schedstat")) / 1e9;
  return Seconds;
}

double residentMegabytes(pid_t Pid) {
  const std::string Kibibytes =
      readStatusField("/proc/" + std::to_string(Pid), "VmRSS");
  return std::stod(Kibibytes) * 1024 / 1e6;
}

uint64_t connectionBytes(pid_t Pid, uint16_t Port) {
  const std::string PortText = std::to_string(Port);
  const std::string Command =
      "ss -tinpHO state established '( sport = :" + PortText +
      " or dport = :" + PortText + " )'";
  FILE *Output = popen(Command.c_str(), "r");
  if (Output == nullptr)
    return 0;
  const std::string ProcessTag = "pid=" + std::to_string(Pid) + ",";
  std::array<char, 4096> Buffer{};
  uint64_t Bytes = 0;
  while (std::fgets(Buffer.data(), Buffer.size(), Output) != nullptr) {
    const std::string Line(Buffer.data());
    if (Line.find(ProcessTag) == std::string::npos)
      continue;
    Bytes += parseNumberAfter(Line, " bytes_sent:");
    Bytes += parseNumberAfter(Line, " bytes_received:");
  }
  pclose(Output);
  return Bytes;
}

} // namespace sapphiremoor::bench
