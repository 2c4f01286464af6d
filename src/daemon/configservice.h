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

/// Holds the configuration in force on this VM and forwards changes to the
/// leader of the voters.
class ConfigService {
public:
  using ChangeHandler = std::function<void(const Result<ChangeResult> &)>;

  /// \p Replica is null on a VM without a disk.
  ConfigService(EventLoop &Loop, const Settings &VmSettings, PeerBus &Bus,
                MembershipService &Membership, ReplicaService *Replica);

  /// Calls \p Handler with each configuration that comes into force.
  Result<Done> start(std::function<void(const ServiceConfig &)> Handler);

  /// Proposes a change and calls \p Handler once. After an error of kind
  /// Timeout the change may still be applied; sending it again with the same
  /// request id returns its result.
  void change(const ChangeFile &Change, ChangeHandler Handler);

  /// Adds or removes a voter and calls \p Handler once. The result carries the
  /// revision in force at the leader.
  void changeVoter(const std::string &Name, bool Remove, ChangeHandler Handler);

  /// Returns the configuration files in force.
  const ConfigState &state() const;
  uint64_t revision() const { return state().Revision; }
  const ServiceConfig &config() const { return state().Cache.MergedConfig; }
  /// Returns the replica of this VM, or null if it has none.
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

  /// Rejects a proposal if this VM has no replica, or forwards it if another VM
  /// is the leader. Returns false if this VM must decide it itself, because it
  /// is the leader or knows none.
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
  /// State according to the log of this VM's replica.
  ConfigState LogState;
  /// State fetched from other VMs. It may be newer than the log of a voter that
  /// is cut off from the leader.
  ConfigState FetchedState;
  /// Results of the newest log entries, by index, for the proposals that wait
  /// for them.
  std::map<uint64_t, ChangeResult> RecentResults;
  std::function<void(const ServiceConfig &)> ConfigHandler;
  RequestNumber LastRequest = 0;
  std::map<RequestNumber, Proposal> Proposals;
  /// Decided changes that wait until their revision is in force on this VM.
  std::vector<AcceptedChange> PendingChanges;
  Timer ExpiryTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_CONFIGSERVICE_H
