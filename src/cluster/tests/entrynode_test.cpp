#include "cluster/entrynode.h"

#include "cluster/tests/processaddress.h"
#include "framework/codec/serial.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace sapphiremoor;
using sapphiremoor::testing::processEndpoint;

namespace {

constexpr const char *TestClusterKey = "0123456789abcdef";

/// The answer to an entry VM as earlier releases send it.
struct EarlierAnswer {
  std::pair<std::string, uint64_t> Recipient;
  std::string JobId;
  JobResult Result = JobResult::NotRun;
  JobReason Reason = JobReason::None;
  int64_t RetryAfterMs = 0;
  std::string Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Recipient.first, Recipient.second, JobId, Result, Reason, RetryAfterMs,
       Target);
  }
};

/// A control VM without a store: it knows the configuration and its voters,
/// answers that it does not know any job, and keeps the jobs it is handed
/// without an answer.
class ControlVmWithoutJobs {
public:
  ControlVmWithoutJobs(EventLoop &Loop, std::size_t Number,
                       const VoterSet &Voters)
      : Self{"c" + std::to_string(Number), 1},
        Address(processEndpoint(Number)), Configuration{{1, Self.Name},
                                                        {{1, ""}, Voters}},
        Mesh(Loop, Self, TestClusterKey, {},
             {[this](const VmId &Sender, std::string_view Payload) {
                answer(Sender, valueOf(decode<ClusterMessage>(Payload)));
              },
              [this](const VmId &Peer) { greet(Peer); }, [](const VmId &) {},
              [](const std::string &, const Error &) {}}) {
    REQUIRE_FALSE(isError(Mesh.listen(Address)));
  }

  void closeLinks() { Mesh.closeAll(); }
  std::size_t withdrawals(uint64_t Request) const {
    return static_cast<std::size_t>(
        std::ranges::count(Withdrawals, Request, &WithdrawJob::Request));
  }

  bool WasAsked = false;
  std::vector<SubmitJob> Jobs;
  std::vector<WithdrawJob> Withdrawals;
  /// If set, jobs that were not redirected before are sent to this VM.
  std::string RedirectTarget;

private:
  void greet(const VmId &Peer) {
    ClusterHeartbeat Heartbeat;
    Heartbeat.Self = {Self, MemberRole::Control, "nitra", Address, false};
    Heartbeat.ConfigurationBallot = Configuration.ChosenBallot;
    send(Peer, Heartbeat);
    send(Peer, RegisterMessage(Configuration));
  }

  void answer(const VmId &Sender, const ClusterMessage &Message) {
    if (const auto *Query = std::get_if<JobQuery>(&Message)) {
      WasAsked = true;
      send(Sender, JobQueryAnswer{Query->Request, JobStatus::Unknown, false});
    } else if (const auto *Withdrawal = std::get_if<WithdrawJob>(&Message)) {
      Withdrawals.push_back(*Withdrawal);
    } else if (const auto *Job = std::get_if<SubmitJob>(&Message)) {
      if (RedirectTarget.empty() || Job->Redirects > 0)
        Jobs.push_back(*Job);
      else
        send(Sender, JobAnswered{{},
                                 Job->Request,
                                 Job->Job.Id,
                                 JobResult::NotRun,
                                 JobReason::Redirected,
                                 0,
                                 RedirectTarget});
    }
  }

  void send(const VmId &Peer, const ClusterMessage &Message) {
    Mesh.send(Peer, encode(Message));
  }

  VmId Self;
  Endpoint Address;
  ChosenValue Configuration;
  PeerMesh Mesh;
};

/// An entry VM and some of the three control VMs that vote.
struct Deployment {
  explicit Deployment(std::size_t ControlVms) {
    for (std::size_t Number = 0; Number < 3; ++Number) {
      Voters.Voters.push_back(describe(processEndpoint(Number)));
      Settings.Seeds.push_back(processEndpoint(Number));
    }
    Controls.resize(ControlVms);
    for (std::size_t Number = 0; Number < ControlVms; ++Number)
      startControl(Number);
    Settings.Name = "e1";
    Settings.DataCentre = "nitra";
    Settings.Peer = processEndpoint(99);
    Settings.AdvertisedPeer = Settings.Peer;
    Settings.ClusterKey = TestClusterKey;
    Entry = std::make_unique<EntryNode>(
        Loop, Settings, [](const VersionedDocument &Document) {
          return RoutingTable::build(Document.Version, {}, {});
        });
    REQUIRE_FALSE(isError(Entry->start()));
    while (!Entry->isReady())
      Loop.runOnce(true);
  }

  /// Starts a control VM, always with the same incarnation.
  void startControl(std::size_t Number) {
    Controls[Number] =
        std::make_unique<ControlVmWithoutJobs>(Loop, Number, Voters);
  }
  void stopControl(std::size_t Number) { Controls[Number].reset(); }

  /// Asks for a job until all running control VMs have been asked, and returns
  /// the last status that the caller would be told.
  std::optional<JobStatus> queryAll() {
    std::optional<JobStatus> Status = query();
    while (!std::ranges::all_of(
        Controls, [](const auto &Control) { return Control->WasAsked; }))
      Status = query();
    return Status;
  }

  /// Submits a job whose caller waits for a minute. Its answer is recorded.
  uint64_t submit(bool Stored = false) {
    JobSubmission Job;
    Job.Id = "0123456789abcdef";
    Job.Stored = Stored;
    Job.DeadlineMs = 60000;
    return Entry->submit(
        Job, [this](const JobAnswer &Answer) { Answers.push_back(Answer); });
  }

  template <typename Condition> void runUntil(const Condition &IsTrue) {
    while (!IsTrue())
      Loop.runOnce(true);
  }

  /// Runs until a control VM keeps the submitted job, and returns this VM.
  ControlVmWithoutJobs &runUntilHeld() {
    const auto KeepsJob = [](const auto &Control) {
      return !Control->Jobs.empty();
    };
    runUntil([&] { return std::ranges::any_of(Controls, KeepsJob); });
    return **std::ranges::find_if(Controls, KeepsJob);
  }

  std::optional<JobStatus> query() {
    std::optional<std::optional<JobStatus>> Answer;
    Entry->query("0123456789abcdef",
                 [&](std::optional<JobStatus> Status) { Answer = Status; });
    while (!Answer)
      Loop.runOnce(true);
    return *Answer;
  }

  EventLoop Loop;
  ClusterSettings Settings;
  VoterSet Voters{1, {}};
  std::vector<std::unique_ptr<ControlVmWithoutJobs>> Controls;
  std::vector<JobAnswer> Answers;
  std::unique_ptr<EntryNode> Entry;
};

} // namespace

// Guards against jobs without an answer while the VMs of a deployment are
// exchanged one after the other: the answer has the layout of earlier releases.
TEST_CASE("an answer of an earlier release is read") {
  const EarlierAnswer Earlier{{"e1", 7},
                              "0123456789abcdef",
                              JobResult::NotRun,
                              JobReason::Redirected,
                              5,
                              "c1"};
  const Result<JobAnswered> Decoded = decode<JobAnswered>(encode(Earlier));
  REQUIRE_FALSE(isError(Decoded));
  const JobAnswer Answer = toAnswer(valueOf(Decoded), {"e1", 3});
  CHECK(Answer.Recipient == JobSource{{"e1", 3}, 7});
  CHECK(Answer.JobId == Earlier.JobId);
  CHECK(Answer.Reason == JobReason::Redirected);
  CHECK(Answer.RetryAfterMs == 5);
  CHECK(Answer.Target == "c1");
  JobAnswered Sent = toMessage(Answer);
  Sent.EntryVm = "e1";
  CHECK(encode(Sent) == encode(Earlier));
}

// Guards against an accepted job that is reported as unknown: an entry VM that
// has just started had heard one control VM, which had no copy of the job.
TEST_CASE(
    "a job is unknown only if a majority of the voters does not know it") {
  Deployment One(1);
  CHECK_FALSE(One.queryAll().has_value());
}

// Guards against a job that nobody knows and that is never reported as such.
TEST_CASE("a job that two of three voters do not know is unknown") {
  Deployment Two(2);
  CHECK(Two.queryAll() == JobStatus::Unknown);
}

// Guards against two runs of a task at once: the dispatcher went on with a job
// whose caller had disconnected, and the caller sent the job again elsewhere.
TEST_CASE("a job of a disconnected caller is withdrawn where it runs") {
  Deployment Two(2);
  Two.queryAll();
  Two.Controls[0]->RedirectTarget = "c1";
  Two.Controls[1]->RedirectTarget = "c0";
  const uint64_t Request = Two.submit();
  ControlVmWithoutJobs &Holder = Two.runUntilHeld();
  Two.Entry->abandon(Request);
  Two.Entry->abandon(Request);
  REQUIRE(Two.Answers.size() == 1);
  CHECK(Two.Answers[0].Result == JobResult::GivenUp);
  CHECK(Two.Answers[0].Reason == JobReason::CallerGone);
  Two.runUntil([&] { return Holder.withdrawals(Request) > 0; });
  Two.query();
  CHECK(Two.Controls[0]->Withdrawals.size() +
            Two.Controls[1]->Withdrawals.size() ==
        1);
}

// Guards against a stored job that is dropped because its caller disconnected
// before it was told that the job is stored.
TEST_CASE("a stored job goes on without its caller") {
  Deployment One(1);
  const uint64_t Request = One.submit(true);
  ControlVmWithoutJobs &Holder = One.runUntilHeld();
  One.Entry->abandon(Request);
  One.query();
  CHECK(One.Answers.empty());
  CHECK(Holder.Withdrawals.empty());
}

// Guards against a job that runs on for nobody because its caller disconnected
// while the link to the dispatcher was down.
TEST_CASE("a job is withdrawn once the link to its dispatcher is back") {
  Deployment One(1);
  const uint64_t Request = One.submit();
  ControlVmWithoutJobs &Holder = One.runUntilHeld();
  Holder.closeLinks();
  One.runUntil([&] { return !One.Entry->isReady(); });
  One.Entry->abandon(Request);
  One.runUntil([&] { return Holder.withdrawals(Request) > 0; });
  CHECK(Holder.Jobs.size() == 1);
}

// Guards against two runs of a task at once: a job that was answered with an
// error because the link had been down ran on after the link had come back.
TEST_CASE("a job that was given up without a link is withdrawn afterwards") {
  Deployment One(1);
  const uint64_t Request = One.submit();
  One.runUntilHeld();
  One.stopControl(0);
  One.runUntil([&] { return !One.Answers.empty(); });
  CHECK(One.Answers[0].Result == JobResult::GivenUp);
  One.startControl(0);
  One.runUntil([&] { return One.Controls[0]->withdrawals(Request) > 0; });
  CHECK(One.Controls[0]->Jobs.empty());
}

// Guards against two runs of a task at once: an entry VM that returned from a
// pause answered its callers with an error, and their jobs ran on.
TEST_CASE("the jobs that a pause ended are withdrawn") {
  Deployment One(1);
  const uint64_t Request = One.submit();
  ControlVmWithoutJobs &Holder = One.runUntilHeld();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  One.runUntil([&] { return Holder.withdrawals(Request) > 0; });
  REQUIRE(One.Answers.size() == 1);
  CHECK(One.Answers[0].Result == JobResult::GivenUp);
}
