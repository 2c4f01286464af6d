#ifndef SAPPHIREMOOR_VERSIONREGISTER_TESTS_REGISTERNETWORK_H
#define SAPPHIREMOOR_VERSIONREGISTER_TESTS_REGISTERNETWORK_H

#include "versionregister/registernode.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace sapphiremoor {

/// Simulates a network of registers with a seeded random generator: messages
/// are delayed, reordered and lost, disks are slow, nodes crash and lose their
/// disks. It checks the invariants of the register while it runs.
class RegisterNetwork {
public:
  RegisterNetwork(std::size_t Nodes, uint64_t Seed);

  /// Runs \p Steps simulation steps.
  void run(std::size_t Steps);
  uint64_t put(const std::string &Name, const VersionedDocument &Document);
  uint64_t read(const std::string &Name);
  RegisterNode &node(const std::string &Name) { return *Nodes.at(Name).Node; }

  /// Stops the node \p Name. Unsynced writes are lost; with \p WipeDisk the
  /// synced ones are lost too.
  void crash(const std::string &Name, bool WipeDisk);
  void restart(const std::string &Name);
  /// Starts a further node, which has an empty disk and is not a voter.
  void add(const std::string &Name);
  bool isDown(const std::string &Name) const {
    return Nodes.at(Name).Node == nullptr;
  }
  /// Cuts or restores all links of \p Name.
  void setCut(const std::string &Name, bool IsCut);

  /// Simulated time of one step.
  static constexpr Duration StepDuration = std::chrono::milliseconds(2);

  /// Share of messages that are lost.
  double LossShare = 0;
  /// Time of a durable write. If it is zero, writes end after a random number
  /// of steps.
  Duration WriteDuration{};
  /// Messages that are delivered and, with random writes, disks that are synced
  /// in a step.
  std::size_t EventsPerStep = 1;
  /// Nodes whose writes do not end.
  std::set<std::string> StalledDisks;
  /// True if nodes that know a chosen value keep asking for a newer one.
  bool RequestsNewerValues = false;
  Instant Now;
  /// The outcome of each ended operation, by node and number.
  std::map<std::pair<std::string, uint64_t>, OperationEnded> EndedOperations;
  /// Highest version that was decided or read.
  uint64_t HighestDecided = 0;
  /// Descriptions of the invariants that were violated.
  std::vector<std::string> Violations;
  std::vector<std::string> Names;

private:
  struct Member {
    std::unique_ptr<RegisterNode> Node;
    std::optional<AcceptorState> Disk;
    std::vector<StoreState> Unsynced;
    /// States of the write that is under way and ends at WriteEnd.
    std::vector<StoreState> Writing;
    Instant WriteEnd;
    uint64_t HighestVersion = 0;
    bool Cut = false;
    uint64_t Incarnation = 0;
  };
  struct InFlightMessage {
    PeerProcess Sender;
    std::string Receiver;
    /// The process that gets a reply; absent for a request.
    std::optional<uint64_t> ReceiverIncarnation;
    RegisterMessage Message;
  };

  void start(const std::string &Name, bool Initial);
  void processEffects(const std::string &Name);
  PeerProcess process(const std::string &Name) const {
    return {Name, Nodes.at(Name).Incarnation};
  }
  void handle(const std::string &Name, const RegisterEffect &Effect);
  void step();
  void deliver();
  void sync();
  /// Ends and begins the writes that take WriteDuration.
  void advanceWrites();
  void confirmWrite(const std::string &Name, const StoreState &Written);

  Random Rng;
  std::map<std::string, Member> Nodes;
  std::vector<InFlightMessage> Messages;
  std::map<uint64_t, std::string> ChosenBodies;
  /// Highest decided version at the start of each read, by node and number.
  std::map<std::pair<std::string, uint64_t>, uint64_t> ReadMinVersions;
  uint64_t Incarnations = 0;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TESTS_REGISTERNETWORK_H
