#ifndef SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H
#define SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H

#include "configuration/configstate.h"
#include "daemon/membershipservice.h"
#include "daemon/peerbus.h"
#include "daemon/replicaservice.h"

#include <functional>
#include <map>
#include <optional>

namespace sapphiremoor {

/// Keeps the configuration in force on this VM and takes changes to the leader
/// of the voters.
class ConfigService {
public:
  using ChangeHandler = std::function<void(const Result<ChangeResult> &)>;

  /// \p Replica is null on a VM without a disk.
  ConfigService(EventLoop &Loop, const Settings &VmSettings, PeerBus &Bus,
                MembershipService &Membership, ReplicaService *Replica);

  /// \p Handler is called with each configuration that comes into force.
  Result<Done> start(std::function<void(const ServiceConfig &)> Handler);

  /// Proposes a change; \p Handler is called once. An error of kind Timeout
  /// leaves the outcome open: a resend with the same request id tells it.
  void change(const ChangeFile &Change, ChangeHandler Handler);

  /// Adds or removes a voter; the result carries the committed log index.
  void changeVoter(const std::string &Name, bool Remove, ChangeHandler Handler);

  /// The files in force.
  const ConfigState &state() const;
  uint64_t revision() const { return state().Revision; }
  const ServiceConfig &config() const { return state().Cache.Merged; }
  /// The replica of this VM, or null.
  const ReplicaState *replica() const;

private:
  struct AcceptedChange {
    ChangeResult Result;
    Instant Deadline;
    ChangeHandler Handler;
  };
  struct Proposal {
    VmId Target;
    Instant Deadline;
    ChangeHandler Handler;
  };

  /// Answers or passes on what this VM cannot decide; false if it can.
  bool
  rejectOrForward(const std::function<PeerMessage(RequestNumber)> &MakeMessage,
                  const ChangeHandler &Handler);
  void proposeLocally(const ChangeFile &Change, const ChangeHandler &Handler);
  void changeVoterLocally(const std::string &Name, bool Remove,
                          const ChangeHandler &Handler);
  void
  forwardToLeader(const std::function<PeerMessage(RequestNumber)> &MakeMessage,
                  ChangeHandler Handler);
  std::optional<VmId> proposalTarget() const;
  void applyEntry(uint64_t Index, const std::string &Bytes);
  Result<Done> installSnapshot(const std::string &Bytes);
  void handleChunk(const ConfigChunk &Chunk);
  void handleRevisionChange(uint64_t PreviousRevision);
  void answerWhenInForce(const VmId &Sender, const ChangeResult &Result,
                         ChangeHandler Handler);
  void answerReadyChanges();
  void expireProposals();

  EventLoop &Loop;
  const Settings &VmSettings;
  PeerBus &Bus;
  MembershipService &Membership;
  ReplicaService *Replica;
  /// What the log of this VM's replica says.
  ConfigState LogState;
  /// What other VMs have told; may be ahead of the log of a voter that is cut
  /// off from the leader.
  ConfigState FetchedState;
  /// Results of the newest log entries, for the proposals that wait for them.
  std::map<uint64_t, ChangeResult> RecentResults;
  std::function<void(const ServiceConfig &)> ConfigHandler;
  RequestNumber LastRequest = 0;
  std::map<RequestNumber, Proposal> Proposals;
  /// Accepted changes that have not reached this VM yet.
  std::vector<AcceptedChange> PendingChanges;
  Timer ExpiryTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H
