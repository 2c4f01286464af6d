#ifndef SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H
#define SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H

#include "dispatch/types/resources.h"
#include "framework/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// What the configuration says of the queue that a job came in by.
struct QueuePolicy {
  /// Name of the queue.
  std::string Queue;
  /// Only backend servers of this service may run the tasks.
  std::string Service;
  /// 0 is the most urgent.
  int32_t Priority = 0;
  /// Runs of a task that may end as failed before its job fails.
  uint32_t MaxAttempts = 1;
  /// The latency objective of a job is Stretch times its longest chain of
  /// estimates, and Slack more.
  double Stretch = 1;
  int64_t SlackMs = 0;

  auto operator<=>(const QueuePolicy &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Queue, Service, Priority, MaxAttempts, Stretch, SlackMs);
  }
};

/// Tasks of one shape within a job.
struct StepRequest {
  uint32_t Count = 1;
  Resources Demand;
  int64_t EstimateMs = 0;
  /// Earlier steps whose tasks all have to be done first.
  std::vector<uint32_t> DependsOn;
  /// Label that the backend server must have, or empty.
  std::string RequiredLabel;
  /// Label of the rack that holds the data, or empty. Tasks run elsewhere take
  /// longer.
  std::string DataRack;
  /// Tasks of the step that may run on one backend server; 0 is no limit.
  uint32_t MaxPerBackend = 0;

  auto operator<=>(const StepRequest &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Count, Demand, EstimateMs, DependsOn, RequiredLabel, DataRack,
       MaxPerBackend);
  }
};

/// A job as its caller sent it.
struct JobSubmission {
  std::string Id;
  /// The job is answered once it is stored, and then runs whatever fails. The
  /// caller of another one waits for its end; it is kept in memory only, and
  /// after a lost answer it may run again from its start.
  bool Stored = false;
  QueuePolicy Policy;
  /// Payload that each start of a task carries.
  std::string Spec;
  std::vector<StepRequest> Steps;
  /// Time that the caller still waits.
  int64_t DeadlineMs = 0;

  auto operator<=>(const JobSubmission &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id, Stored, Policy, Spec, Steps, DeadlineMs);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_TYPES_JOBSUBMISSION_H
