#ifndef SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H
#define SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H

#include "framework/core/random.h"
#include "framework/core/time.h"
#include "framework/core/types/peerprocess.h"
#include "versionregister/internal/backoff.h"
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

/// Time limits of rounds and operations.
struct RegisterLimits {
  /// A request without a reply after this time is sent again.
  Duration ResendPeriod = std::chrono::milliseconds(250);
  /// A round without a majority after this time is abandoned and retried. The
  /// time doubles with each such round in a row, so that it exceeds the writes
  /// of a round on any disk.
  Duration FirstRoundTimeout = std::chrono::seconds(1);
  Duration LongestRoundTimeout = std::chrono::seconds(8);
  /// Upper bound of the random pause after a round that was abandoned. After a
  /// round that lost against another proposer, it is at least the time that the
  /// round took: the other one needs as long.
  Duration RetryPause = std::chrono::milliseconds(60);
  /// An operation without a result after this time ends as Unavailable.
  Duration OperationTimeout = std::chrono::milliseconds(900);
};

/// Initial state of a RegisterNode.
struct RegisterStart {
  /// This process. Its address identifies the VM as a voter.
  PeerProcess Self;
  /// State that was found on the disk, if any.
  std::optional<AcceptorState> StoredState;
  /// Voters of a new deployment. Set only when the whole deployment starts for
  /// the first time: a voter that finds its disk empty later has lost its
  /// promises.
  std::optional<VoterSet> InitialVoters;
};

/// One VM's replica of a register that holds the document with the highest
/// version. It runs Paxos on a single value that changes: each round reads the
/// newest value from a majority, applies a change and stores the result on a
/// majority. Any VM may propose. The class does no input or output: the caller
/// passes in time and messages and carries out the effects.
class RegisterNode {
public:
  RegisterNode(const RegisterStart &Start, const RegisterLimits &Limits,
               uint64_t Seed);

  /// Starts to store \p Document. OperationEnded reports the result under the
  /// returned number.
  uint64_t put(const VersionedDocument &Document, Instant Now);
  /// Starts to read the newest document from a majority. OperationEnded reports
  /// the result under the returned number.
  uint64_t read(Instant Now);
  /// Proposes \p NewVoters in place of an earlier proposal that has not
  /// started. Does nothing unless their epoch follows the current one.
  void changeVoters(const VoterSet &NewVoters, Instant Now);

  void receive(const PeerProcess &Sender, const RegisterMessage &Message,
               Instant Now);
  /// Notes that the state of the StoreState effect \p Number is durable.
  void confirmStored(uint64_t Number);
  /// Stores the current state again, because earlier writes failed. Replies
  /// that wait for one of them are sent once this one is durable.
  void storeAgain();
  void tick(Instant Now);

  /// Returns the effects since the last call, in order.
  std::vector<RegisterEffect> takeEffects();

  /// The newest value known to be chosen. Its document may have version 0.
  const std::optional<ChosenValue> &chosen() const { return NewestChosen; }
  /// False while this VM must not vote because it has lost its promises.
  bool isVoting() const { return Voting; }
  const VoterSet &voters() const { return Voters; }

private:
  struct PendingRead {
    detail::Operation ReadOperation;
    std::map<std::string, Ballot> Replies;
  };

  void handle(const PeerProcess &Sender, const PrepareRequest &Request,
              Instant Now);
  void handle(const PeerProcess &Sender, const PrepareReply &Reply,
              Instant Now);
  void handle(const PeerProcess &Sender, const AcceptRequest &Request,
              Instant Now);
  void handle(const PeerProcess &Sender, const AcceptReply &Reply, Instant Now);
  void handle(const PeerProcess &Sender, const ReadRequest &Request,
              Instant Now);
  void handle(const PeerProcess &Sender, const ReadReply &Reply, Instant Now);
  void handle(const PeerProcess &Sender, const ChosenValue &Chosen,
              Instant Now);
  void handle(const PeerProcess &Sender, const ChosenRequest &Request,
              Instant Now);

  void send(const std::string &Receiver, RegisterMessage Message);
  void reply(const PeerProcess &Receiver, RegisterMessage Message);
  void store();
  /// Sends \p Message once the state with the number \p Store is durable.
  void replyDurable(const PeerProcess &Receiver, RegisterMessage Message,
                    uint64_t Store);
  void startRound(Instant Now);
  /// Ends the first phase of the current round if a majority has promised.
  /// Operations that arrive until then are decided by the round too.
  void continueFirstPhase(Instant Now);
  void sendPrepares();
  void sendRequest(const std::string &Voter);
  /// Sends the requests of the current round again that have no reply.
  void resendRequests(Instant Now);
  void startAcceptPhase();
  void adoptRecoveredState(Instant Now);
  void finishRound(Instant Now);
  /// Ends the current round without a decision. The next one starts after a
  /// random pause.
  void abandonRound(Instant Now, RoundOutcome Outcome);
  Duration longestPause(const detail::Round &Lost, RoundOutcome Outcome,
                        Instant Now) const;
  void reportRound(const detail::Round &EndedRound, RoundOutcome Outcome,
                   Instant Now);
  void learn(const ChosenValue &Chosen, Instant Now);
  /// Asks the voters again for the pending reads: after a newer value was
  /// chosen, they may need no round any more.
  void restartReads(Instant Now);
  void sendReadRequests(uint64_t Number);
  void endOperation(const detail::Operation &EndedOperation,
                    OperationOutcome Outcome);
  void startRoundIfNeeded(Instant Now);
  void expireOperations(Instant Now);

  /// Address of this VM.
  std::string Self;
  /// Name of this process in ballots. Another process of this VM may start from
  /// the same round, because a ballot is used before it is durable here.
  std::string Proposer;
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
  detail::Backoff RoundTimeout;
  Instant NextRoundTime;

  uint64_t LastStore = 0;
  uint64_t LastDurable = 0;
  /// First state with the value that this voter accepted last.
  uint64_t AcceptedStore = 0;
  /// Replies that are sent once a state is durable, by the number of that
  /// state.
  std::multimap<uint64_t, RegisterReply> RepliesAfterStore;
  std::vector<RegisterEffect> Effects;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_REGISTERNODE_H
