#ifndef SAPPHIREMOOR_CLAIMS_CLAIMS_H
#define SAPPHIREMOOR_CLAIMS_CLAIMS_H

#include "claims/types/claimeffect.h"
#include "claims/types/claimstate.h"
#include "framework/core/error.h"

#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Claims decide who runs a key, so that no key starts twice. Only the issuer
/// of a prefix grants a key, once, to one executor; the grant counts when a
/// majority of the members named in the prefix hold it. The rules are in
/// docs/design.md, section 4. Instants are of the local monotonic time line;
/// no clock decides safety.

/// A provisional grant that a forwarder has recorded. It travels with the
/// forwarded job and counts only for the incarnation that it names.
struct ProvisionalGrant {
  VmId Holder;
  VmId Executor;

  auto operator<=>(const ProvisionalGrant &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Holder, Executor);
  }
};

/// What forwardJob() found. If Known is set, it is a PassToExecutor to another
/// VM than intended (perhaps this one), a JoinJob or a Decide, and nothing must
/// be forwarded to the intended executor.
struct ForwardResult {
  std::optional<ProvisionalGrant> Grant;
  std::optional<ClaimEffect> Effect;
};

/// Returns an empty state for one run of the daemon.
ClaimState makeClaimState(VmId Self, std::string DataCentre,
                          const ClaimLimits &Limits = {});

/// Issues a prefix. \p Reachable lists other VMs, those of the home data centre
/// first; the first two become members.
Prefix issuePrefix(ClaimState &State, const std::string &Team,
                   const std::vector<VmId> &Reachable, Instant Now);

/// Called on the VM that is about to forward a job to \p Executor. Records the
/// provisional grant if this VM is a member that has not sealed the prefix; if
/// this VM is the issuer, the grant itself.
ForwardResult forwardJob(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, const VmId &Executor,
                         Instant Now);

/// Called on the VM that shall execute the job. Leads, now or after replies or
/// ticks, to exactly one StartJob, PassToExecutor, JoinJob or Decide for this
/// key and digest; calls made while one is pending share its result.
ClaimEffects claimJob(ClaimState &State, const JobKey &Key,
                      const BodyDigest &Digest,
                      const std::optional<ProvisionalGrant> &Grant,
                      Instant Now);

/// Gives the key up on this VM; call it only if no task of the key has started
/// here, and start none afterwards. Pending claims of the key end with this
/// refusal. Leads to Decide NotRun, to PassToExecutor if another executor holds
/// the grant, or to Decide Unknown if neither issuer nor seal is reachable.
ClaimEffects refuseJob(ClaimState &State, const JobKey &Key,
                       const Error &Reason, Instant Now);

/// Looks for the executor or the answer of a key without granting it. Leads to
/// JoinJob, PassToExecutor or Decide. Before a second search for a job whose
/// executor does not answer, call peerDown() for it. A key that the issuer has
/// never granted gives Decide Unknown with the reason "not_submitted", since it
/// may run yet.
ClaimEffects findJob(ClaimState &State, const JobKey &Key, Instant Now);

/// Handles a message from \p Sender, whose incarnation the link has verified.
ClaimEffects receive(ClaimState &State, const VmId &Sender,
                     const ClaimMessage &Message, Instant Now);

/// Ends waits that have timed out and drops what has expired.
ClaimEffects tick(ClaimState &State, Instant Now);

/// The next instant at which a pending claim times out.
std::optional<Instant> nextDeadline(const ClaimState &State);

/// No reply of \p Peer is awaited any longer. Wrong suspicion is safe.
ClaimEffects peerDown(ClaimState &State, const VmId &Peer, Instant Now);

/// \p Peer answers. Claims that wait for another incarnation of it go on.
ClaimEffects peerUp(ClaimState &State, const VmId &Peer, Instant Now);

/// Keeps the answer of a job that this VM has executed, and copies it to one
/// further member. \p Digest is that of the job's StartJob.
ClaimEffects storeAnswer(ClaimState &State, const JobKey &Key,
                         const BodyDigest &Digest, std::string Bytes,
                         Instant Now);

/// Returns the answer kept on this VM for \p Key, or null.
const std::string *findStoredAnswer(const ClaimState &State, const JobKey &Key);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_CLAIMS_H
