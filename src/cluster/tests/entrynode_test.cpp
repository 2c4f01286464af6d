#include "cluster/entrynode.h"

#include "cluster/tests/processaddress.h"
#include "framework/codec/serial.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace sapphiremoor;
using sapphiremoor::testing::processEndpoint;

namespace {

constexpr const char *TestClusterKey = "0123456789abcdef";

/// A control VM without a store: it knows the configuration and its voters, and
/// answers that it does not know any job.
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

  bool WasAsked = false;

private:
  void greet(const VmId &Peer) {
    ClusterHeartbeat Heartbeat;
    Heartbeat.Self = {Self, MemberRole::Control, "nitra", Address, false};
    Heartbeat.ConfigurationBallot = Configuration.ChosenBallot;
    send(Peer, Heartbeat);
    send(Peer, RegisterMessage(Configuration));
  }

  void answer(const VmId &Sender, const ClusterMessage &Message) {
    const auto *Query = std::get_if<JobQuery>(&Message);
    if (Query == nullptr)
      return;
    WasAsked = true;
    send(Sender, JobQueryAnswer{Query->Request, JobStatus::Unknown, false});
  }

  void send(const VmId &Peer, const ClusterMessage &Message) {
    Mesh.send(Peer.Name, encode(Message));
  }

  VmId Self;
  Endpoint Address;
  ChosenValue Configuration;
  PeerMesh Mesh;
};

/// An entry VM and some of the three control VMs that vote.
struct Deployment {
  explicit Deployment(std::size_t ControlVms) {
    VoterSet Voters{1, {}};
    for (std::size_t Number = 0; Number < 3; ++Number) {
      Voters.Voters.push_back(describe(processEndpoint(Number)));
      Settings.Seeds.push_back(processEndpoint(Number));
    }
    for (std::size_t Number = 0; Number < ControlVms; ++Number)
      Controls.push_back(
          std::make_unique<ControlVmWithoutJobs>(Loop, Number, Voters));
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

  /// Asks for a job until all running control VMs have been asked, and returns
  /// the last status that the caller would be told.
  std::optional<JobStatus> queryAll() {
    std::optional<JobStatus> Status = query();
    while (!std::ranges::all_of(
        Controls, [](const auto &Control) { return Control->WasAsked; }))
      Status = query();
    return Status;
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
  std::vector<std::unique_ptr<ControlVmWithoutJobs>> Controls;
  std::unique_ptr<EntryNode> Entry;
};

} // namespace

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
