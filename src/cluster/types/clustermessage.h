#ifndef SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H
#define SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H

#include "discovery/types/memberinfo.h"
#include "dispatch/dispatcher.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/jobsubmission.h"
#include "jobstore/types/jobstoremessage.h"
#include "versionregister/types/registermessage.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// What each VM tells all others several times a second.
struct ClusterHeartbeat {
  MemberInfo Self;
  /// Control VMs that the sender hears.
  std::vector<MemberSighting> ControlSightings;
  /// Ballot of the newest configuration that the sender knows.
  Ballot ConfigurationBallot;
  DispatchLoad Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Self, ControlSightings, ConfigurationBallot, Load);
  }
};

/// An entry VM hands a job to a dispatcher.
struct SubmitJob {
  uint64_t Request = 0;
  uint8_t Redirects = 0;
  /// The job was handed over before and the link broke meanwhile.
  bool Resumed = false;
  JobSubmission Job;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Redirects, Resumed, Job);
  }
};

/// Ends a job, or only asks for it.
struct JobQuery {
  uint64_t Request = 0;
  std::string Job;
  bool Cancel = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Job, Cancel);
  }
};

/// Answer to JobQuery: the state before a cancel.
struct JobQueryAnswer {
  uint64_t Request = 0;
  JobStatus Status = JobStatus::Unknown;
  /// The job has ended, or was ended by this query, for good.
  bool Ended = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Status, Ended);
  }
};

/// Asks for the jobs of a queue that have not started.
struct PendingJobsQuery {
  uint64_t Request = 0;
  std::string Queue;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Queue);
  }
};

struct PendingJobsAnswer {
  uint64_t Request = 0;
  uint64_t JobCount = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, JobCount);
  }
};

/// Reports that backend servers gave to the sender.
struct BackendReports {
  std::vector<BackendReport> Reports;
  /// Backend servers that have left.
  std::vector<std::string> Departed;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Reports, Departed);
  }
};

/// The sender took these backend servers, or gave them up.
struct OwnershipUpdate {
  std::vector<std::string> Acquired;
  std::vector<std::string> Released;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Acquired, Released);
  }
};

using ClusterMessage =
    std::variant<ClusterHeartbeat, SubmitJob, JobAnswer, JobQuery,
                 JobQueryAnswer, PendingJobsQuery, PendingJobsAnswer,
                 BackendReports, OwnershipUpdate, RegisterMessage,
                 JobStoreMessage>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H
