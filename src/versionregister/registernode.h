#ifndef SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H
#define SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H

#include "framework/core/random.h"
#include "framework/core/time.h"
#include "versionregister/internal/proposer.h"
#include "versionregister/types/acceptorstate.h"
#include "versionregister/types/registereffect.h"
#include "versionregister/types/registermessage.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Timing of the rounds.
struct RegisterLimits {
  /// A round without a majority for this time is given up and tried again. It
  /// exceeds two synced writes of a slow disk.
  Duration RoundTimeout = std::chrono::milliseconds(250);
  /// Longest random pause before a round that lost against another proposer.
  Duration MaxRetryPause = std::chrono::milliseconds(60);
  /// Time that an operation may take.
  Duration OperationTimeout = std::chrono::milliseconds(900);
};

/// How the register of one VM starts.
struct RegisterStart {
  /// Address of this VM, its name as a voter.
  std::string Self;
  /// What its disk held, if anything.
  std::optional<AcceptorState> StoredState;
  /// The voters of the first start. Only set when the whole deployment starts
  /// for the first time: a voter that finds its disk empty later has lost what
  /// it promised.
  std::optional<VoterSet> InitialVoters;
};

/// One VM's part of a replicated register that holds the document with the
/// highest version (Paxos with one changing value: each round reads the newest
/// value from a majority, applies a change and stores the result on a
/// majority). Any VM may propose. Pure decisions: time and messages go in,
/// effects come out.
class RegisterNode {
public:
  RegisterNode(const RegisterStart &Start, const RegisterLimits &Limits,
               uint64_t Seed);

  /// Starts to store \p Document; OperationEnded follows with the number.
  uint64_t put(const VersionedDocument &Document, Instant Now);
  /// Reads the newest document from a majority.
  uint64_t read(Instant Now);
  /// Proposes \p Voters, the epoch after the current one.
  void changeVoters(const VoterSet &NewVoters, Instant Now);

  void receive(const std::string &Sender, const RegisterMessage &Message,
               Instant Now);
  /// The state of the StoreState effect \p Number is durable.
  void confirmStored(uint64_t Number);
  void tick(Instant Now);

  /// Returns the effects since the last call, in their order.
  std::vector<RegisterEffect> takeEffects();

  /// The newest value known to be chosen. Its document may have version 0.
  const std::optional<ChosenValue> &chosen() const { return NewestChosen; }
  /// False while this VM has lost what it promised and must not vote.
  bool isVoting() const { return Voting; }
  const VoterSet &voters() const { return Voters; }

private:
  struct PendingRead {
    detail::Operation ReadOperation;
    std::map<std::string, Ballot> Replies;
  };

  void handle(const std::string &Sender, const PrepareRequest &Request,
              Instant Now);
  void handle(const std::string &Sender, const PrepareReply &Reply,
              Instant Now);
  void handle(const std::string &Sender, const AcceptRequest &Request,
              Instant Now);
  void handle(const std::string &Sender, const AcceptReply &Reply, Instant Now);
  void handle(const std::string &Sender, const ReadRequest &Request,
              Instant Now);
  void handle(const std::string &Sender, const ReadReply &Reply, Instant Now);
  void handle(const std::string &Sender, const ChosenValue &Chosen,
              Instant Now);
  void handle(const std::string &Sender, const ChosenRequest &Request,
              Instant Now);

  void send(const std::string &Receiver, RegisterMessage Message);
  void store();
  /// Sends \p Message once everything that was stored so far is durable.
  void sendDurable(const std::string &Receiver, RegisterMessage Message);
  void startRound(Instant Now);
  void sendPrepares();
  void startAcceptPhase();
  void adoptRecoveredState(Instant Now);
  void finishRound(Instant Now);
  void abandonRound(Instant Now, Duration MaxPause);
  void learn(const ChosenValue &Chosen);
  void endOperation(const detail::Operation &EndedOperation,
                    OperationOutcome Outcome);
  void startRoundIfNeeded(Instant Now);
  void expireOperations(Instant Now);

  std::string Self;
  RegisterLimits Limits;
  Random Rng;
  AcceptorState State;
  bool Voting = false;
  VoterSet Voters;
  std::optional<ChosenValue> NewestChosen;
  uint64_t HighestRound = 0;

  uint64_t NextOperation = 1;
  std::deque<detail::Operation> PendingOperations;
  std::map<uint64_t, PendingRead> PendingReads;
  std::optional<detail::Round> CurrentRound;
  Instant NextRoundTime;

  uint64_t LastStore = 0;
  uint64_t LastDurable = 0;
  /// Replies that wait for their state to be durable, by store number.
  std::multimap<uint64_t, SendToVoter> RepliesAfterStore;
  std::vector<RegisterEffect> Effects;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H
