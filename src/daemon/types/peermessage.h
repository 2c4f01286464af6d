#ifndef SAPPHIREMOOR_DAEMON_TYPES_PEERMESSAGE_H
#define SAPPHIREMOOR_DAEMON_TYPES_PEERMESSAGE_H

#include "claims/claims.h"
#include "claims/types/claimmessage.h"
#include "configuration/types/changefile.h"
#include "configuration/types/changeresult.h"
#include "configuration/types/configchunk.h"
#include "framework/core/error.h"
#include "gateway/types/answer.h"
#include "gateway/types/jobrequest.h"
#include "leases/types/announcement.h"
#include "leases/types/backendchange.h"
#include "membership/types/heartbeat.h"
#include "replication/types/replicationmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Identifies a request among those of one VM incarnation. The reply carries
/// the same number.
using RequestNumber = uint64_t;

/// Forwards a job with all its tasks to the VM that is to execute it.
struct ForwardJob {
  RequestNumber Request = 0;
  JobKey Key;
  JobRequest Job;
  std::optional<ProvisionalGrant> Hold;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Key, Job, Hold);
  }
};

/// Runs a single request of an idempotent service, which needs no key.
struct RunRequest {
  RequestNumber Request = 0;
  JobRequest Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Job); }
};

/// Waits at the executor for the answer of a job, or cancels the job there.
struct AttachJob {
  RequestNumber Request = 0;
  JobKey Key;
  bool Cancel = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Key, Cancel);
  }
};

/// Tells the requester that another VM executes the job.
struct Redirect {
  VmId Executor;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Executor); }
};

/// Content of the reply to a waiting request.
using JobReplyBody = std::variant<Answer, Error, Redirect>;

/// Reply to ForwardJob, RunRequest and AttachJob.
struct JobReply {
  RequestNumber Request = 0;
  JobReplyBody Body;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Body); }
};

/// Asks the dispatcher to issue a key prefix.
struct PrefixRequest {
  RequestNumber Request = 0;
  std::string Team;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Team); }
};

struct PrefixReply {
  RequestNumber Request = 0;
  Prefix IssuedPrefix;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, IssuedPrefix);
  }
};

/// Relays the announcement of a backend server to the dispatcher.
struct RelayAnnouncement {
  Announcement Payload;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Payload); }
};

/// Changes the state of one backend server. Sent to the dispatcher.
struct BackendCommand {
  enum class Kind : uint8_t { Leave, Drain, Undrain };
  Kind Operation = Kind::Leave;
  std::string Id;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Operation, Id); }
};

/// Sends the changes that the dispatcher has made to its backend table to the
/// other VMs of the data centre.
struct BackendUpdate {
  std::vector<BackendChange> Changes;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Changes); }
};

/// Asks for the configuration changes after \c Revision.
struct ConfigFetch {
  uint64_t Revision = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Revision); }
};

/// Reports whether a VM with a disk belongs to a formed set of voters. The
/// first voters form a set only after all of them have reported that they are
/// new.
struct VoterStatus {
  Voter Self;
  bool Formed = false;
  /// The voters that the sender knows, if it belongs to a formed set.
  std::vector<Voter> Voters;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Self, Formed, Voters);
  }
};

/// Asks the leader to propose adding or removing a voter.
struct ProposeVoter {
  RequestNumber Request = 0;
  std::string Name;
  bool Remove = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Name, Remove);
  }
};

/// Asks the leader to propose a configuration change.
struct ProposeChange {
  RequestNumber Request = 0;
  ChangeFile Change;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Change);
  }
};

struct ProposeReply {
  RequestNumber Request = 0;
  std::variant<ChangeResult, Error> Result;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Result);
  }
};

/// All messages between daemons.
using PeerMessage =
    std::variant<Heartbeat, ForwardJob, RunRequest, AttachJob, JobReply,
                 PrefixRequest, PrefixReply, ClaimMessage, RelayAnnouncement,
                 BackendCommand, BackendUpdate, ConfigFetch, ConfigChunk,
                 ProposeChange, ProposeVoter, ProposeReply, VoterStatus,
                 ReplicationMessage>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_TYPES_PEERMESSAGE_H
