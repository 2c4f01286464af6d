#include "framework/metrics/processmemory.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace sapphiremoor {

namespace {

constexpr uint64_t BytesPerKibibyte = 1024;

/// Returns the value of a line such as "VmRSS:     1234 kB", in bytes.
std::optional<uint64_t> readSize(std::string_view Text, std::string_view Name) {
  const std::size_t LineStart = Text.find("\n" + std::string(Name) + ":");
  if (LineStart == std::string_view::npos)
    return std::nullopt;
  std::string_view Line = Text.substr(LineStart + 1);
  Line = Line.substr(0, Line.find('\n'));
  const std::size_t Start = Line.find_first_of("0123456789");
  if (Start == std::string_view::npos || !Line.ends_with(" kB"))
    return std::nullopt;
  uint64_t Kibibytes = 0;
  std::from_chars(Line.data() + Start, Line.data() + Line.size(), Kibibytes);
  return Kibibytes * BytesPerKibibyte;
}

} // namespace

std::optional<ProcessMemory> parseProcessStatus(std::string_view Text) {
  const auto Resident = readSize(Text, "VmRSS");
  const auto Peak = readSize(Text, "VmHWM");
  if (!Resident || !Peak)
    return std::nullopt;
  return ProcessMemory{*Resident, *Peak};
}

void recordProcessMemory(Registry &Metrics) {
  std::ifstream File("/proc/self/status");
  std::ostringstream Text;
  Text << File.rdbuf();
  const auto Memory = parseProcessStatus(Text.str());
  if (!Memory)
    return;
  Metrics
      .gauge("process_resident_memory_bytes",
             "Physical memory of this process.")
      .set(static_cast<double>(Memory->ResidentBytes));
  Metrics
      .gauge("process_peak_memory_bytes",
             "Highest physical memory of this process since its start.")
      .set(static_cast<double>(Memory->PeakBytes));
}

} // namespace sapphiremoor
