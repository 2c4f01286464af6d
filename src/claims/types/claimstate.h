#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMSTATE_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMSTATE_H

#include "claims/types/claimlimits.h"
#include "claims/types/claimmessage.h"
#include "claims/types/numberset.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace sapphiremoor {

/// How far this VM has executed a key that is granted to it.
enum class ExecutionStage : uint8_t { NotStarted, Started, Finished };

/// A grant that this VM has recorded.
struct HeldGrant {
  BodyDigest Digest{};
  /// Index into PrefixRecord::Executors, which keeps a grant small.
  uint32_t Executor = 0;
  bool Provisional = false;
  ExecutionStage Stage = ExecutionStage::NotStarted;
};

/// What one VM has recorded about one prefix.
struct PrefixRecord {
  sapphiremoor::Prefix Prefix;
  Instant FirstSeen{};
  /// Once set, this VM records no further grant of the prefix.
  bool Sealed = false;
  std::map<uint64_t, HeldGrant> Grants;
  /// On the issuer: keys that never run. On other VMs: keys that this VM has
  /// promised never to start.
  NumberSet Voids;
  std::vector<VmId> Executors;
};

/// Identifies the calls for one key that share one result.
struct ClaimId {
  JobKey Key;
  /// Absent for a refusal or a search, which apply to all bodies.
  std::optional<BodyDigest> Digest;

  bool operator==(const ClaimId &) const = default;
  std::strong_ordering operator<=>(const ClaimId &Other) const {
    return std::tie(Key, Digest) <=> std::tie(Other.Key, Other.Digest);
  }
};

/// What a pending claim waits for.
enum class ClaimPhase : uint8_t {
  /// Waits for the issuer's reply.
  Granting,
  /// Waits for further members to record the grant.
  Holding,
  /// Waits for a majority of the members to seal the prefix.
  Sealing,
  /// Waits for promises of executors that may hold the grant and for copies of
  /// the answer.
  Querying,
};

/// A claim that has no result yet.
struct PendingClaim {
  ClaimId Id;
  ClaimIntent Intent = ClaimIntent::Claim;
  ClaimPhase Phase = ClaimPhase::Granting;
  Instant Deadline{};
  /// Members known to have recorded the grant to this VM.
  std::set<VmId> Holders;
  /// True if the issuer has granted the key to this VM.
  bool GrantedHere = false;
  /// VMs whose reply is awaited in this phase.
  std::set<VmId> Awaited;
  /// Members that were asked to record the grant.
  std::set<VmId> AskedMembers;
  /// Members that have sealed the prefix.
  std::set<VmId> SealedMembers;
  std::vector<GrantReport> Reports;
  bool AnyTooOld = false;
  /// Executors that may hold the grant. Each must promise not to start the key
  /// before the claim can end as not run.
  std::set<VmId> UnresolvedExecutors;
  /// True if no majority of the members could be sealed. Promises then prove
  /// nothing, because an unsealed member may hold a grant to yet another
  /// executor.
  bool SealFailed = false;
  /// Reason and detail of a refusal.
  std::string Reason;
  std::string Detail;
};

/// An answer that is stored for resubmissions.
struct StoredAnswer {
  BodyDigest Digest{};
  std::string Bytes;
  uint64_t Order = 0;
};

/// The last known incarnation of a peer and whether it is reachable.
struct PeerReachability {
  uint64_t Incarnation = 0;
  bool Reachable = true;
};

/// The state of the claims of one VM. Only the functions in claims.h change it.
struct ClaimState {
  VmId Self;
  std::string DataCentre;
  ClaimLimits Limits;

  uint64_t LastSequence = 0;
  std::map<VmId, std::map<uint64_t, PrefixRecord>> Records;
  /// The lowest sequence that has not been dropped, by issuer incarnation.
  std::map<VmId, uint64_t> LowWaterMarks;
  std::size_t RecordBytes = 0;
  /// When records and answers are next checked for expiry.
  Instant NextExpiryCheck{};

  uint64_t LastRequestNumber = 0;
  /// Pending claims by request number. Each phase takes a new number, so that
  /// deadlines ascend with the numbers and late replies match no claim.
  std::map<uint64_t, PendingClaim> Pending;
  std::map<ClaimId, uint64_t> PendingById;

  uint64_t LastAnswerOrder = 0;
  std::map<JobKey, StoredAnswer> Answers;
  /// Time of storage and key of each stored answer, from the oldest on.
  std::map<uint64_t, std::pair<Instant, JobKey>> AnswerOrder;
  std::size_t AnswerBytes = 0;

  std::map<std::string, PeerReachability> Peers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMSTATE_H
