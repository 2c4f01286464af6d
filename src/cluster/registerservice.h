#ifndef SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H
#define SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H

#include "cluster/clusterbus.h"
#include "framework/storage/storagetask.h"
#include "versionregister/registernode.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sapphiremoor {

/// The part of a control VM in keeping the newest configuration: runs the
/// register, its disk and its messages.
class RegisterService {
public:
  using OperationHandler =
      std::function<void(OperationOutcome, const VersionedDocument &)>;

  RegisterService(EventLoop &Loop, const ClusterSettings &Of, ClusterBus &Bus);

  /// Opens the data folder. \p OnChosen is told each newer value.
  Result<Done> start(std::function<void(const RegisterValue &)> OnChosen);

  void put(const VersionedDocument &Document, OperationHandler Handler);
  void read(OperationHandler Handler);
  void received(const VmId &From, const RegisterMessage &Message);
  void peerUp(const VmId &Peer);

  /// The VMs whose majority decides.
  const VoterSet &voters() const { return Node->voters(); }
  /// Ballot of the newest chosen value.
  Ballot chosenBallot() const;
  const std::optional<ChosenValue> &chosen() const { return Node->chosen(); }

private:
  void run();
  void perform(const RegisterEffect &Effect);
  void sendTo(const SendToVoter &Message);
  void stored(const std::vector<StorageReply> &Replies);
  void ended(const OperationEnded &Ended);
  void tick();
  void considerVoters();

  EventLoop &Loop;
  const ClusterSettings &Of;
  ClusterBus &Bus;
  std::function<void(const RegisterValue &)> OnChosen;
  std::unique_ptr<RegisterNode> Node;
  std::unique_ptr<StorageTask> Storage;
  bool StorageLost = false;
  std::map<uint64_t, OperationHandler> Handlers;
  std::optional<uint64_t> StartupRead;
  Instant NextVoterCheck;
  Timer TickTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H
