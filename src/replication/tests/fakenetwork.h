#ifndef SAPPHIREMOOR_REPLICATION_TESTS_FAKENETWORK_H
#define SAPPHIREMOOR_REPLICATION_TESTS_FAKENETWORK_H

#include "replication/durability.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor::testing {

/// The state that the owner of a replica builds from applied entries.
struct AppliedState {
  uint64_t Index = 0;
  uint64_t Hash = 0;
};

/// One VM with its disk. Storage requests stay in Pending until they are
/// durable.
struct FakeNode {
  ReplicaState State;
  RecoveredFolder Disk;
  std::deque<StorageRequest> Pending;
  AppliedState Applied;
  bool IsUp = false;
  uint64_t Incarnation = 0;
};

/// A seeded network of replicas that delays, loses and duplicates messages and
/// checks the safety rules at each step. Each broken rule is added to
/// Violations.
class FakeNetwork {
public:
  /// Starts \p Voters replicas, named "a", "b" and so on, all of them voters.
  FakeNetwork(std::size_t Voters, uint64_t Seed);

  /// Runs the network for \p Time. Stops at the first violation.
  void run(Duration Time);
  void crash(const std::string &Name);
  void restart(const std::string &Name);
  /// Restarts the VM with an empty disk.
  void wipe(const std::string &Name);
  void failStorage(const std::string &Name) { handle(Name, StorageLost{}); }
  /// Drops all messages from \p Sender to \p Receiver until heal().
  void cut(const std::string &Sender, const std::string &Receiver);
  /// Cuts \p Name off from all VMs in both directions.
  void isolate(const std::string &Name);
  void heal() { Cuts.clear(); }
  /// Proposes at one VM and returns the request number. The outcome appears in
  /// Results.
  uint64_t propose(const std::string &Name, const std::string &Bytes);
  uint64_t changeVoter(VoterChangeKind Kind, const Voter &ChangedVoter);
  void makeSnapshot(const std::string &Name);
  /// Passes one event to a replica and performs the effects.
  void handle(const std::string &Name, const ReplicaEvent &Event);

  /// The leader with the highest term, if any.
  std::optional<std::string> leader() const;
  Voter voter(const std::string &Name) { return Nodes[Name].State.Config.Self; }
  /// Runs until all running VMs have applied the same entries, at most 60 s.
  /// Returns true if they have.
  bool runUntilConverged();
  void checkLogsMatch();

  std::map<std::string, FakeNode> Nodes;
  std::map<uint64_t, Result<uint64_t>> Results;
  std::set<std::string> Violations;
  /// Role changes that occurred, as "from to".
  std::set<std::string> RoleChanges;
  uint64_t HighestTerm = 0;
  double Loss = 0;
  double Duplication = 0;
  /// Longest delay of a message. A delay near the election timeouts makes
  /// several candidates of one term likely.
  int MaxDelayMs = 30;
  Random Rng;

private:
  struct Delivery {
    std::string Sender;
    std::string Receiver;
    std::optional<ReplicationMessage> Message;
    uint64_t Incarnation = 0;
    uint64_t PersistNumber = 0;
  };

  void start(const std::string &Name);
  void performEffects(const std::string &Name,
                      const std::vector<ReplicaEffect> &Effects);
  void send(const std::string &Sender, const SendReplicationMessage &Effect);
  void persist(const std::string &Name, StorageRequest Request);
  void deliver(const Delivery &Item);
  void completePersist(const std::string &Name, uint64_t Number);
  void apply(const std::string &Name, const ApplyCommand &Effect);
  void install(const std::string &Name, const InstallSnapshot &Effect);
  void checkLeader(const std::string &Name, uint64_t Term);
  bool chance(double Probability);
  Duration delay(int MaxMs);

  Instant Now{};
  Instant NextTick{};
  std::multimap<Instant, Delivery> Queue;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::vector<Voter> InitialVoters;
  std::map<uint64_t, Voter> LeadersByTerm;
  /// Hash of all entries up to each committed index.
  std::map<uint64_t, uint64_t> CommittedHashes;
  /// Bytes of each committed command, with the term of the first VM that
  /// applied it.
  std::map<uint64_t, std::pair<uint64_t, std::string>> CommittedCommands;
  uint64_t LastRequestNumber = 0;
};

/// Performs \p Action on the disk as RecordLog does.
void applyToDisk(RecoveredFolder &Disk, const StorageAction &Action);

} // namespace sapphiremoor::testing

#endif // SAPPHIREMOOR_REPLICATION_TESTS_FAKENETWORK_H
