#ifndef SAPPHIREMOOR_CLAIMS_TESTS_FAKENETWORK_H
#define SAPPHIREMOOR_CLAIMS_TESTS_FAKENETWORK_H

#include "claims/claims.h"
#include "framework/core/random.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sapphiremoor::test {

/// A job or a search that one VM passes on to another.
struct PassedRequest {
  JobKey Key;
  /// Absent for a search.
  std::optional<BodyDigest> Digest;
  std::optional<ProvisionalGrant> Grant;
  int Hops = 0;
};

struct Envelope {
  VmId Sender;
  VmId Receiver;
  std::variant<ClaimMessage, PassedRequest> Body;
};

/// Probabilities of the faults.
struct FaultRates {
  double Loss = 0;
  double Duplication = 0;
  /// A message is delayed so long that its sender may have timed out.
  double DelayedDelivery = 0;
  /// A network cut, kill, restart, pause or false report about a peer before a
  /// step.
  double NodeFault = 0;
};

/// One daemon: its claims and the jobs that it has queued or started.
struct Node {
  std::optional<ClaimState> State;
  std::string Name;
  bool Paused = false;
  std::vector<Envelope> Inbox;
  /// Jobs whose first task has not started, and jobs that run.
  std::map<JobKey, BodyDigest> Queued;
  std::map<JobKey, BodyDigest> Running;
  /// Calls without a result so far.
  std::set<ClaimId> OpenCalls;
};

/// Daemons and a network, both driven by one seed. Each violation of a safety
/// rule is added to Violations.
class FakeNetwork {
public:
  FakeNetwork(uint64_t Seed, std::size_t Size, const FaultRates &Rates);

  /// Runs \p Steps steps with submissions, searches, refusals and faults.
  void run(int Steps);
  /// Ends all faults, submits each key at each VM and runs until no claim
  /// should be pending.
  void runToCompletion();
  void submit(Node &Entry, const JobKey &Key, const BodyDigest &Digest);
  void runFor(Duration Time);
  JobKey newKey(Node &Issuer);

  std::vector<Node> Nodes;
  std::vector<std::string> Violations;
  std::map<JobKey, std::pair<int, BodyDigest>> StartedJobs;
  std::map<JobKey, std::set<BodyDigest>> Submitted;
  std::set<JobKey> NotRun;
  std::map<std::string, int> Results;
  std::size_t MessagesSent = 0;

private:
  void addViolation(const JobKey &Key, const std::string &Message);
  void send(const VmId &Sender, const VmId &Receiver, const Envelope &Message);
  void deliver(const Envelope &Message);
  void handle(Node &Vm, const Envelope &Message);
  void apply(Node &Vm, const ClaimEffects &Effects, int Hops);
  void finish(Node &Vm, const ClaimEffect &Effect, int Hops);
  void closeCall(Node &Vm, const ClaimId &Id);
  void claim(Node &Vm, const PassedRequest &Request);
  void find(Node &Vm, const JobKey &Key, int Hops);
  void refuse(Node &Vm, const JobKey &Key);
  void start(Node &Vm, JobKey Key);
  void runJobs(Node &Vm);
  void advance(Duration Time);
  void injectFault();
  void reportPeerState(Node &Vm, Node &Peer);
  void kill(Node &Vm);
  void restart(Node &Vm);
  void resume(Node &Vm);
  bool chance(double Probability);
  std::size_t randomIndex(std::size_t Count);
  Node *findNode(const std::string &Name);

  Random Rng;
  FaultRates Rates;
  Instant Now{};
  std::multimap<Instant, Envelope> InFlight;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::vector<JobKey> Keys;
};

} // namespace sapphiremoor::test

#endif // SAPPHIREMOOR_CLAIMS_TESTS_FAKENETWORK_H
