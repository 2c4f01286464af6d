#ifndef SAPPHIREMOOR_DAEMON_REPLICASERVICE_H
#define SAPPHIREMOOR_DAEMON_REPLICASERVICE_H

#include "daemon/formation.h"
#include "daemon/peerbus.h"
#include "framework/net/timer.h"
#include "framework/storage/storagetask.h"
#include "replication/durability.h"
#include "replication/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphiremoor {

/// Runs the replica of a VM with a disk. Connects the replication logic to the
/// links between VMs, the clock and the storage task.
class ReplicaService {
public:
  struct StateMachineCallbacks {
    std::function<void(uint64_t Index, const std::string &Bytes)> Apply;
    /// An error means that the snapshot is corrupt. The replica then counts as
    /// lost.
    std::function<Result<Done>(const std::string &Bytes)> Install;
    /// Returns the state to store in a snapshot.
    std::function<std::string()> Snapshot;
  };
  using ResultHandler = std::function<void(const Result<uint64_t> &)>;

  ReplicaService(EventLoop &Loop, const Settings &VmSettings, PeerBus &Bus);

  /// Opens the data folder and starts the replica, or waits for the other
  /// voters if the folder is empty. Errors: StorageFailure, CorruptData.
  Result<Done> start(StateMachineCallbacks NewCallbacks);

  /// Proposes \p Bytes. \p Handler receives the committed index or an error.
  void propose(const std::string &Bytes, ResultHandler Handler);
  /// Adds or removes a voter, one at a time.
  void changeVoter(const std::string &Name, bool Remove, ResultHandler Handler);

  /// Returns the name of the leader, if it is known.
  std::optional<std::string> leader() const;
  /// Returns the replica, or null until this VM has formed or joined a set of
  /// voters.
  const ReplicaState *state() const;

private:
  Result<Done> openReplica(const std::vector<Voter> &FirstVoters);
  void handle(const ReplicaEvent &Event);
  void runEffects(const std::vector<ReplicaEffect> &Effects);
  void runEffect(const ReplicaEffect &Effect);
  /// Handles a storage failure. This copy of the log is lost, so the replica
  /// stops voting, acknowledging and leading.
  void handleStorageLoss(const Error &Reason);
  void finishProposal(const ProposeResult &Result);
  void handleStatus(const VmId &Sender, const VoterStatus &Status);
  void tryForm();
  VoterStatus status() const;
  std::optional<Voter> findVoter(const std::string &Name, bool Remove) const;

  EventLoop &Loop;
  const Settings &VmSettings;
  PeerBus &Bus;
  StateMachineCallbacks Callbacks;
  Random Rng;
  RecoveredFolder Folder;
  FormationState FormationProgress;
  std::optional<ReplicaState> Replica;
  std::unique_ptr<RecordLog> RecoveredLog;
  std::unique_ptr<StorageTask> Storage;
  /// Expires with this object. Replies that the storage thread posts during the
  /// destruction are then dropped.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  uint64_t LastProposal = 0;
  std::map<uint64_t, ResultHandler> Proposals;
  uint64_t AppliedIndex = 0;
  Timer TickTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_REPLICASERVICE_H
