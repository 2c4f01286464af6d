#ifndef SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H
#define SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H

#include "discovery/types/memberinfo.h"
#include "discovery/types/ownershipdigest.h"
#include "dispatch/dispatcher.h"
#include "dispatch/types/backendreport.h"
#include "dispatch/types/dispatcheffect.h"
#include "dispatch/types/jobsubmission.h"
#include "framework/core/time.h"
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

/// Message that each VM sends to all others several times a second.
struct ClusterHeartbeat {
  MemberInfo Self;
  /// Control VMs that the sender has heard from directly.
  std::vector<MemberSighting> ControlSightings;
  /// Ballot of the newest configuration that the sender knows.
  Ballot ConfigurationBallot;
  DispatchLoad Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Self, ControlSightings, ConfigurationBallot, Load);
  }
};

/// Hands a job from an entry VM to a dispatcher.
struct SubmitJob {
  /// Number that the entry VM gave to the request.
  uint64_t Request = 0;
  uint8_t Redirects = 0;
  /// True if the job was sent before and the link broke meanwhile.
  bool Resumed = false;
  JobSubmission Job;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Redirects, Resumed, Job);
  }
};

/// Answer to a request for a job, as JobAnswer. It names the request by its
/// number only, like all messages: a link belongs to one process of a VM.
struct JobAnswered {
  /// Not used; earlier releases send the name of the entry VM.
  std::string EntryVm;
  uint64_t Request = 0;
  std::string JobId;
  JobResult Result = JobResult::NotRun;
  JobReason Reason = JobReason::None;
  int64_t RetryAfterMs = 0;
  std::string Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(EntryVm, Request, JobId, Result, Reason, RetryAfterMs, Target);
  }
};

/// Returns the message for the process that gets \p Answer.
inline JobAnswered toMessage(const JobAnswer &Answer) {
  return {{},
          Answer.Recipient.Request,
          Answer.JobId,
          Answer.Result,
          Answer.Reason,
          Answer.RetryAfterMs,
          Answer.Target};
}

/// Returns the answer in a message that the process \p Self has received.
inline JobAnswer toAnswer(const JobAnswered &Message, const VmId &Self) {
  return {{Self, Message.Request}, Message.JobId,        Message.Result,
          Message.Reason,          Message.RetryAfterMs, Message.Target};
}

/// Withdraws a request for a job that is not stored, because its caller does
/// not wait any more. The job ends unless other requests for it are open.
struct WithdrawJob {
  /// Number that the entry VM gave to the request.
  uint64_t Request = 0;
  std::string Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Job); }
};

/// An entry VM does not wait any longer for the answers to a JobQuery or a
/// PendingJobsQuery.
constexpr Duration QueryTimeout = std::chrono::milliseconds(700);

/// Asks for the state of a job, and cancels the job if Cancel is set.
struct JobQuery {
  uint64_t Request = 0;
  std::string Job;
  bool Cancel = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Job, Cancel);
  }
};

/// Answer to JobQuery, with the state of the job before a cancel.
struct JobQueryAnswer {
  uint64_t Request = 0;
  JobStatus Status = JobStatus::Unknown;
  /// True if the job has ended for good, be it before or by this query.
  bool Ended = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Status, Ended);
  }
};

/// Asks how many jobs of a queue have not started.
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

/// Forwards the reports that backend servers sent to the sender.
struct BackendReports {
  std::vector<BackendReport> Reports;
  /// Backend servers that have left the deployment.
  std::vector<std::string> Departed;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Reports, Departed);
  }
};

/// Announces which backend servers the sender has acquired and released. It may
/// be lost with a link; the OwnershipDigest that follows each heartbeat of a
/// control VM shows this.
struct OwnershipUpdate {
  std::vector<std::string> Acquired;
  std::vector<std::string> Released;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Acquired, Released);
  }
};

/// Asks for all backend servers that the receiver owns.
struct OwnershipRequest {
  template <typename Archive> void serialize(Archive &) {}
};

/// All backend servers that the sender owns, the answer to OwnershipRequest.
/// What it does not name is not owned by the sender.
struct OwnedBackends {
  std::vector<std::string> Ids;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Ids); }
};

using ClusterMessage =
    std::variant<ClusterHeartbeat, SubmitJob, JobAnswered, JobQuery,
                 JobQueryAnswer, PendingJobsQuery, PendingJobsAnswer,
                 BackendReports, OwnershipUpdate, RegisterMessage,
                 JobStoreMessage, WithdrawJob, OwnershipDigest,
                 OwnershipRequest, OwnedBackends>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_TYPES_CLUSTERMESSAGE_H
