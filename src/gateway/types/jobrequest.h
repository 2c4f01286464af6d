#ifndef SAPPHIREMOOR_GATEWAY_TYPES_JOBREQUEST_H
#define SAPPHIREMOOR_GATEWAY_TYPES_JOBREQUEST_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// A validated job as VMs send it to each other.
struct JobRequest {
  std::string Team;
  std::string Service;
  /// One JSON text per task.
  std::vector<std::string> Tasks;
  /// Time from acceptance until the job is abandoned, in microseconds.
  int64_t DeadlineMicros = 0;
  /// Submitted as a single request, not as a job.
  bool Single = false;

  auto operator<=>(const JobRequest &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Team, Service, Tasks, DeadlineMicros, Single);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_TYPES_JOBREQUEST_H
