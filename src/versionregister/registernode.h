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
  Duration RetryPause = std::chrono::milliseconds(60);
  /// Time that an operation may take.
  Duration OperationTimeout = std::chrono::milliseconds(900);
};

/// How the register of one VM starts.
struct RegisterStart {
  /// Address of this VM, its name as a voter.
  std::string Self;
  /// What its disk held, if anything.
  std::optional<AcceptorState> Stored;
  /// The voters of the first start. Only set when the whole deployment starts
  /// for the first time: a voter that finds its disk empty later has lost what
  /// it promised.
  std::optional<VoterSet> FirstVoters;
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
  void changeVoters(const VoterSet &Voters, Instant Now);

  void received(const std::string &From, const RegisterMessage &Message,
                Instant Now);
  /// The state of the StoreState effect \p Number is durable.
  void stored(uint64_t Number);
  void tick(Instant Now);

  /// Returns the effects since the last call, in their order.
  std::vector<RegisterEffect> takeEffects();

  /// The newest value known to be chosen. Its document may have version 0.
  const std::optional<ChosenValue> &chosen() const { return Known; }
  /// False while this VM has lost what it promised and must not vote.
  bool voting() const { return Voting; }
  const VoterSet &voters() const { return Voters; }

private:
  struct Reading {
    detail::Operation Of;
    std::map<std::string, Ballot> Answers;
  };

  void handle(const std::string &From, const PrepareRequest &Request,
              Instant Now);
  void handle(const std::string &From, const PrepareReply &Reply, Instant Now);
  void handle(const std::string &From, const AcceptRequest &Request,
              Instant Now);
  void handle(const std::string &From, const AcceptReply &Reply, Instant Now);
  void handle(const std::string &From, const ReadRequest &Request, Instant Now);
  void handle(const std::string &From, const ReadReply &Reply, Instant Now);
  void handle(const std::string &From, const ChosenValue &Value, Instant Now);
  void handle(const std::string &From, const ChosenRequest &Request,
              Instant Now);

  void send(const std::string &To, RegisterMessage Message);
  void store();
  /// Sends \p Message once everything that was stored so far is durable.
  void sendDurable(const std::string &To, RegisterMessage Message);
  void startRound(Instant Now);
  void askUnasked();
  void enterAccept();
  void adoptRecovered(Instant Now);
  void finishRound(Instant Now);
  void abandonRound(Instant Now, Duration Pause);
  void learn(const ChosenValue &Value);
  void endOperation(const detail::Operation &Of, OperationOutcome Outcome);
  void tryStart(Instant Now);
  void expireOperations(Instant Now);

  std::string Self;
  RegisterLimits Limits;
  Random Rng;
  AcceptorState State;
  bool Voting = false;
  VoterSet Voters;
  std::optional<ChosenValue> Known;
  uint64_t HighestRound = 0;

  uint64_t NextOperation = 1;
  std::deque<detail::Operation> Waiting;
  std::map<uint64_t, Reading> Readings;
  std::optional<detail::Round> Current;
  Instant NextRound;

  uint64_t LastStore = 0;
  uint64_t LastDurable = 0;
  /// Replies that wait for their state to be durable, by store number.
  std::multimap<uint64_t, SendToVoter> AfterStore;
  std::vector<RegisterEffect> Effects;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H
