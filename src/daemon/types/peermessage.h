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

/// Numbers the requests of one VM incarnation; replies carry it back.
using RequestNumber = uint64_t;

/// Hands a whole job to the VM that shall execute it.
struct ForwardJob {
  RequestNumber Request = 0;
  JobKey Key;
  JobRequest Job;
  std::optional<ProvisionalGrant> Hold;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Key, Job, Hold);
  }
};

/// Runs a single request of an idempotent service, without a key.
struct RunRequest {
  RequestNumber Request = 0;
  JobRequest Job;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Job); }
};

/// Waits for the answer of a job at its executor, or cancels the job there.
struct AttachJob {
  RequestNumber Request = 0;
  JobKey Key;
  bool Cancel = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Key, Cancel);
  }
};

/// The job belongs to another executor.
struct Redirect {
  VmId Executor;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Executor); }
};

/// What a waiting request is told.
using JobReplyBody = std::variant<Answer, Error, Redirect>;

/// The reply to ForwardJob, RunRequest and AttachJob.
struct JobReply {
  RequestNumber Request = 0;
  JobReplyBody Body;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Request, Body); }
};

/// Asks the dispatcher to issue a prefix.
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

/// Passes an announcement on to the dispatcher.
struct RelayAnnouncement {
  Announcement Payload;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Payload); }
};

/// Passes an order about one backend server on to the dispatcher.
struct BackendCommand {
  enum class Kind : uint8_t { Leave, Drain, Undrain };
  Kind Operation = Kind::Leave;
  std::string Id;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Operation, Id); }
};

/// Tells the other VMs of the data centre what the dispatcher has learned.
struct BackendUpdate {
  std::vector<BackendChange> Changes;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Changes); }
};

/// Asks for the configuration changes after a revision.
struct ConfigFetch {
  uint64_t Revision = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Revision); }
};

/// Says whether a VM with a disk belongs to a formed set of voters. The first
/// voters form only when all of them have said that they are new.
struct VoterStatus {
  Voter Self;
  bool Formed = false;
  /// The voters that a formed VM knows.
  std::vector<Voter> Voters;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Self, Formed, Voters);
  }
};

/// Asks the leader to propose a change of the voters.
struct ProposeVoter {
  RequestNumber Request = 0;
  std::string Name;
  bool Remove = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Request, Name, Remove);
  }
};

/// Asks the leader to propose a change.
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
