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

/// A grant as this VM holds it.
struct HeldGrant {
  BodyDigest Digest{};
  /// Index into PrefixRecord::Executors, which keeps a grant small.
  uint32_t Executor = 0;
  bool Provisional = false;
  ExecutionStage Stage = ExecutionStage::NotStarted;
};

/// What one VM remembers of one prefix.
struct PrefixRecord {
  sapphiremoor::Prefix Prefix;
  Instant FirstSeen{};
  /// A sealed VM records no further grant of the prefix.
  bool SealedMembers = false;
  std::map<uint64_t, HeldGrant> Grants;
  /// At the issuer: keys that never run. Elsewhere: keys that this VM has
  /// promised never to start.
  NumberSet Voids;
  std::vector<VmId> Executors;
};

/// The requests of one key that wait for the same result.
struct ClaimId {
  JobKey Key;
  /// Absent for a refusal or a search, which concern every body.
  std::optional<BodyDigest> Digest;

  bool operator==(const ClaimId &) const = default;
  std::strong_ordering operator<=>(const ClaimId &Other) const {
    return std::tie(Key, Digest) <=> std::tie(Other.Key, Other.Digest);
  }
};

/// What a pending claim waits for.
enum class ClaimPhase : uint8_t {
  /// The issuer's reply.
  Granting,
  /// Further members that hold the grant.
  Holding,
  /// A majority of members that seal the prefix.
  Sealing,
  /// Executors that may hold the grant, and copies of the answer.
  Querying,
};

/// A claim that has not been decided yet.
struct PendingClaim {
  ClaimId Id;
  ClaimIntent Intent = ClaimIntent::Claim;
  ClaimPhase Phase = ClaimPhase::Granting;
  Instant Deadline{};
  /// Members that are known to hold the grant to this VM.
  std::set<VmId> Holders;
  /// The issuer has granted the key to this VM.
  bool GrantedHere = false;
  /// VMs whose reply is awaited in this phase.
  std::set<VmId> Awaited;
  /// Members that were asked to hold the grant.
  std::set<VmId> AskedMembers;
  /// Members that have sealed the prefix.
  std::set<VmId> SealedMembers;
  std::vector<GrantReport> Reports;
  bool AnyTooOld = false;
  /// Executors that must promise before the key is known not to run.
  std::set<VmId> UnresolvedExecutors;
  /// A majority could not be sealed, so promises prove nothing.
  bool SealFailed = false;
  /// Reason and detail of a refusal.
  std::string Reason;
  std::string Detail;
};

/// An answer kept for resubmissions.
struct StoredAnswer {
  BodyDigest Digest{};
  std::string Bytes;
  uint64_t Order = 0;
};

/// The last known run of a peer.
struct PeerReachability {
  uint64_t Incarnation = 0;
  bool Up = true;
};

/// The claims of one VM: a plain struct, changed only by the functions of
/// claims.h.
struct ClaimState {
  VmId Self;
  std::string DataCentre;
  ClaimLimits Limits;

  uint64_t LastSequence = 0;
  std::map<VmId, std::map<uint64_t, PrefixRecord>> Records;
  /// Per issuer incarnation the lowest sequence that is not dropped.
  std::map<VmId, uint64_t> LowWaterMarks;
  std::size_t RecordBytes = 0;
  /// When records and answers are next checked for their age.
  Instant NextExpiryCheck{};

  uint64_t LastRequestNumber = 0;
  /// By request number. A new number is taken for each phase, so that the
  /// deadlines ascend with the numbers and late replies find no claim.
  std::map<uint64_t, PendingClaim> Pending;
  std::map<ClaimId, uint64_t> PendingById;

  uint64_t LastAnswerOrder = 0;
  std::map<JobKey, StoredAnswer> Answers;
  /// Kept answers from the oldest on, with the time at which they were kept.
  std::map<uint64_t, std::pair<Instant, JobKey>> AnswerOrder;
  std::size_t AnswerBytes = 0;

  std::map<std::string, PeerReachability> Peers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMSTATE_H
