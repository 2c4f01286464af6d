#ifndef SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H
#define SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H

#include "dispatch/types/resources.h"
#include "framework/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Settings of the queue to which a job was submitted.
struct QueuePolicy {
  std::string Queue;
  /// Only backend servers of this service run the tasks.
  std::string Service;
  /// Lower values are more urgent; 0 is the most urgent.
  int32_t Priority = 0;
  /// Number of failed runs of one task after which its job fails.
  uint32_t MaxAttempts = 1;
  /// The latency objective of a job is Stretch times its critical path, plus
  /// SlackMs.
  double Stretch = 1;
  int64_t SlackMs = 0;

  auto operator<=>(const QueuePolicy &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Queue, Service, Priority, MaxAttempts, Stretch, SlackMs);
  }
};

/// A step of a job: a group of tasks with the same requirements.
struct StepRequest {
  uint32_t Count = 1;
  Resources Demand;
  int64_t EstimateMs = 0;
  /// Indexes of earlier steps; all their tasks have to be done first.
  std::vector<uint32_t> DependsOn;
  /// Label that the backend server must have; empty if none is required.
  std::string RequiredLabel;
  /// Label of the rack that holds the data, or empty. Tasks take longer on
  /// other racks.
  std::string DataRack;
  /// Maximum number of tasks of the step on one backend server at a time; 0
  /// means no limit.
  uint32_t MaxPerBackend = 0;

  auto operator<=>(const StepRequest &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Count, Demand, EstimateMs, DependsOn, RequiredLabel, DataRack,
       MaxPerBackend);
  }
};

/// A job as submitted by its caller.
struct JobSubmission {
  std::string Id;
  /// True if the job is answered as soon as it is stored; it then survives
  /// failures and runs to its end. Any other job is kept in memory only and its
  /// caller waits for the end; if the answer is lost, the job may run again
  /// from its start.
  bool Stored = false;
  QueuePolicy Policy;
  /// Payload sent with each start of a task.
  std::string Spec;
  std::vector<StepRequest> Steps;
  /// Remaining time for which the caller waits.
  int64_t DeadlineMs = 0;

  auto operator<=>(const JobSubmission &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Stored, Policy, Spec, Steps, DeadlineMs);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H
