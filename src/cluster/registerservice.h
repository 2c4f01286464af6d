#ifndef SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H
#define SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H

#include "cluster/clusterbus.h"
#include "cluster/recoveringstorage.h"
#include "framework/metrics/registry.h"
#include "versionregister/registernode.h"
#include "versionregister/voterwatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Runs the replicated register of a control VM, which holds the newest
/// configuration: stores its state on disk and carries its messages.
class RegisterService {
public:
  using OperationHandler =
      std::function<void(OperationOutcome, const VersionedDocument &)>;

  RegisterService(EventLoop &Loop, const ClusterSettings &Settings,
                  ClusterBus &Bus, Registry &Metrics);

  /// Opens the data folder. \p OnChosen is called with each newer value.
  Result<Done> start(std::function<void(const RegisterValue &)> OnChosen);

  void put(const VersionedDocument &Document, OperationHandler Handler);
  void read(OperationHandler Handler);
  void handleMessage(const VmId &Sender, const RegisterMessage &Message);
  void handlePeerUp(const VmId &Peer);

  /// Returns the VMs whose majority decides.
  const VoterSet &voters() const { return Node->voters(); }
  /// Returns the ballot of the newest chosen value; the lowest one if there is
  /// none.
  Ballot chosenBallot() const;
  const std::optional<ChosenValue> &chosen() const { return Node->chosen(); }

private:
  /// A request of an operator that is under way.
  struct PendingRequest {
    std::string_view Operation;
    OperationHandler Handler;
  };

  /// Counts the ends of rounds and requests, and the time of durable writes.
  struct RegisterMetrics {
    explicit RegisterMetrics(Registry &Metrics);

    Gauge &VoterCount;
    Gauge &SilentVoterCount;
    Gauge &Voting;
    Counter &DecidedRounds;
    Counter &TimedOutRounds;
    Counter &OvertakenRounds;
    LatencyHistogram &StoreTimes;
  };

  void run();
  void perform(const RegisterEffect &Effect);
  /// Has the bus dial the voters.
  void announceVoters();
  void sendToVoter(const SendToVoter &Message);
  void reply(const RegisterReply &Reply);
  /// Delivers a message of this VM to itself.
  void receiveFromSelf(const RegisterMessage &Message);
  void store(const StoreState &Effect);
  void confirmStored(const std::vector<uint64_t> &Numbers);
  void storeAgain();
  bool isVoting() const { return Node->isVoting() && !Storage.failed(); }
  void handleRoundEnd(const RoundEnded &Effect);
  void handleOperationEnd(const OperationEnded &Effect);
  void logUnavailable(std::string_view Operation) const;
  void tick();
  ControlVmSightings sightings() const;
  /// Proposes to replace voters that are gone.
  void checkVoters();
  void logProposal(const VoterSet &Voters, const VoterSet &NewVoters) const;
  void reportSilentVoters(const ControlVmSightings &Sightings);

  EventLoop &Loop;
  const ClusterSettings &Settings;
  ClusterBus &Bus;
  std::function<void(const RegisterValue &)> OnChosen;
  std::unique_ptr<RegisterNode> Node;
  RecoveringStorage Storage;
  /// Requests by the number of their operation.
  std::map<uint64_t, PendingRequest> Requests;
  /// Start times of writes that are not durable yet, by number.
  std::map<uint64_t, Instant> UnsyncedWrites;
  std::optional<RoundEnded> LastRound;
  std::optional<uint64_t> StartupRead;
  Instant StartTime;
  /// Epoch of the newest voters that were in force here, and the time of the
  /// last change.
  uint64_t KnownEpoch = 0;
  Instant ExchangedAt;
  Instant NextVoterCheck;
  /// The voters that the last check proposed.
  std::optional<VoterSet> LastProposal;
  /// Voters that were reported as silent and not as heard again.
  std::set<std::string> ReportedVoters;
  RegisterMetrics ServiceMetrics;
  Timer TickTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_REGISTERSERVICE_H
