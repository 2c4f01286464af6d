#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_PROCESSMEMORY_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_PROCESSMEMORY_H

#include "framework/metrics/registry.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sapphiremoor {

/// Physical memory of a process, in bytes.
struct ProcessMemory {
  uint64_t ResidentBytes = 0;
  /// The highest value since the process started.
  uint64_t PeakBytes = 0;

  bool operator==(const ProcessMemory &) const = default;
};

/// Reads the lines VmRSS and VmHWM of a /proc/PID/status file (proc(5)).
/// Returns nothing if one is missing or is not a number of kibibytes.
std::optional<ProcessMemory> parseProcessStatus(std::string_view Text);

/// Sets the gauges process_resident_memory_bytes and process_peak_memory_bytes
/// to those of this process. Creates neither if the kernel does not tell.
void recordProcessMemory(Registry &Metrics);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_PROCESSMEMORY_H
