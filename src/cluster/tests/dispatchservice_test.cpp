#include "cluster/dispatchservice.h"

#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <utility>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

namespace {

/// The dispatcher of one life of a control VM. Orders are recorded, not sent.
class RecordingVm {
public:
  RecordingVm(const std::string &Name, const Endpoint &Address,
              const std::string &DataFolder)
      : Settings(makeSettings(Name, Address, DataFolder)),
        Bus(Loop, Settings, {Name, 1}, {}),
        Service(Loop, Settings, Bus,
                {[this](const StartOrder &, const auto &) { ++Starts; },
                 [](const StopOrder &, const auto &) {},
                 [this](const PollOrder &Order, const auto &Handler) {
                   LastToken = Order.Target.FencingToken;
                   AnswerPoll = Handler;
                 }},
                Metrics, {[](const OwnershipChanged &) {}, [] {}, {}}) {}

  /// Starts a takeover of a backend server and returns its token.
  uint64_t takeOver(uint64_t Term) {
    BackendReport Report;
    Report.Id = "b1";
    Report.Capacity = {4000, 1000, 0};
    Service.dispatcher().handleReport(Report, Loop.now());
    Service.dispatcher().acquire("b1", Term, Loop.now());
    Service.run();
    return LastToken;
  }

  /// Answers the last poll: nothing runs on the backend server.
  void answerPoll() { std::exchange(AnswerPoll, {})(RunList{}); }

  /// Submits a job with one task. Returns the number of start orders so far.
  std::size_t submit(const std::string &Id) {
    JobSubmission Job;
    Job.Id = Id;
    Job.DeadlineMs = 5000;
    Job.Policy.SlackMs = 5000;
    Job.Steps.emplace_back();
    Job.Steps.back().EstimateMs = 100;
    Service.submit({"e1", 1}, {1, 0, false, Job});
    return Starts;
  }

  DispatchService &service() { return Service; }

private:
  static ClusterSettings makeSettings(const std::string &Name,
                                      const Endpoint &Address,
                                      const std::string &DataFolder) {
    ClusterSettings Made;
    Made.Name = Name;
    Made.Role = MemberRole::Control;
    Made.Peer = Address;
    Made.AdvertisedPeer = Address;
    Made.DataFolder = DataFolder;
    Made.TrustedNetwork = true;
    return Made;
  }

  uint64_t LastToken = 0;
  std::size_t Starts = 0;
  std::function<void(PollAnswer)> AnswerPoll;
  EventLoop Loop;
  Registry Metrics;
  ClusterSettings Settings;
  ClusterBus Bus;
  DispatchService Service;
};

constexpr uint64_t Term = 1000;

} // namespace

// Guards against two owners of one backend server at once: control VMs of two
// data centres, whose addresses differ in the second byte only, had one token.
TEST_CASE("control VMs of different data centres never share a fencing token") {
  const TemporaryFolder Folder;
  std::set<uint64_t> Tokens;
  for (int DataCentre = 0; DataCentre < 256; ++DataCentre) {
    const std::string Name = "c" + std::to_string(DataCentre);
    const Endpoint Address{"10." + std::to_string(DataCentre) + ".0.35", 9000};
    RecordingVm Vm(Name, Address, Folder.Path + "/" + Name);
    Tokens.insert(Vm.takeOver(Term));
  }
  CHECK(Tokens.size() == 256);
}

// Guards against two owners of one backend server at once: control VMs on one
// address had one token.
TEST_CASE("control VMs on one address never share a fencing token") {
  const TemporaryFolder Folder;
  std::set<uint64_t> Tokens;
  for (uint16_t Number = 0; Number < 50; ++Number) {
    const std::string Name = "c" + std::to_string(Number);
    const Endpoint Address{"127.0.0.1", static_cast<uint16_t>(30000 + Number)};
    RecordingVm Vm(Name, Address, Folder.Path + "/" + Name);
    Tokens.insert(Vm.takeOver(Term));
  }
  CHECK(Tokens.size() == 50);
}

// Guards against orders of a former process that count as orders of the present
// one: after a restart within one term, both had one token.
TEST_CASE("a restarted control VM does not use a fencing token again") {
  const TemporaryFolder Folder;
  const Endpoint Address{"10.1.0.35", 9000};
  std::set<uint64_t> Tokens;
  for (int Life = 0; Life < 10; ++Life) {
    RecordingVm Vm("c1", Address, Folder.Path + "/c1");
    Tokens.insert(Vm.takeOver(Term));
  }
  CHECK(Tokens.size() == 10);
}

// Guards against tasks beside those of another owner: a control VM that had
// been paused placed tasks by what it had known before the pause.
TEST_CASE("a paused control VM places tasks after a new run list only") {
  const TemporaryFolder Folder;
  RecordingVm Vm("c1", {"10.1.0.35", 9000}, Folder.Path + "/c1");
  Vm.takeOver(Term);
  Vm.answerPoll();
  REQUIRE(Vm.submit("j1") == 1);
  Vm.service().handleStall();
  CHECK(Vm.submit("j2") == 1);
}
