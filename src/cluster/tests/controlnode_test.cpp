#include "cluster/controlnode.h"

#include "framework/storage/tests/temporaryfolder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

using namespace sapphiremoor;
using sapphiremoor::testing::TemporaryFolder;

namespace {

constexpr uint16_t PeerPort = 27790;

/// Address at which no VM listens.
const Endpoint DeadSeed{"127.0.78.9", PeerPort};

Endpoint peerEndpoint(std::size_t Number) {
  return {"127.0.78." + std::to_string(Number + 1), PeerPort};
}

/// Control VMs in one event loop, with links over loopback and no backend
/// servers.
class ControlVms {
public:
  explicit ControlVms(std::size_t Count) : Vms(Count) {}

  void start(const std::vector<Endpoint> &Seeds, bool FirstStart) {
    Loop = std::make_unique<EventLoop>();
    for (std::size_t Number = 0; Number < Vms.size(); ++Number) {
      Vm &Started = Vms[Number];
      Started.Settings.Name = "c" + std::to_string(Number);
      Started.Settings.DataCentre = "nitra";
      Started.Settings.Role = MemberRole::Control;
      Started.Settings.Peer = peerEndpoint(Number);
      Started.Settings.AdvertisedPeer = peerEndpoint(Number);
      Started.Settings.Seeds = Seeds;
      Started.Settings.DataFolder = Folder.Path + "/" + Started.Settings.Name;
      Started.Settings.FirstStart = FirstStart;
      Started.Settings.ClusterKey = "0123456789abcdef";
      Started.Node = std::make_unique<ControlNode>(*Loop, Started.Settings,
                                                   BackendOrders{});
      REQUIRE_FALSE(isError(Started.Node->start()));
    }
  }

  void stop() {
    for (Vm &Stopped : Vms)
      Stopped.Node.reset();
    // Work that the VMs have posted refers to them.
    Loop.reset();
  }

  /// Stores \p Document at each VM in turn until it is decided.
  void put(const VersionedDocument &Document) {
    bool Decided = false;
    for (std::size_t Number = 0; !Decided; ++Number) {
      bool Ended = false;
      configuration(Number % Vms.size())
          .put(Document,
               [&](OperationOutcome Outcome, const VersionedDocument &) {
                 Decided = Outcome == OperationOutcome::Decided;
                 Ended = true;
               });
      while (!Ended)
        Loop->runOnce(true);
    }
  }

  /// Runs until all VMs know \p Version.
  void waitFor(uint64_t Version) {
    const auto KnowsVersion = [Version](const Vm &Node) {
      const auto &Chosen = Node.Node->configuration().chosen();
      return Chosen && Chosen->Value.Document.Version == Version;
    };
    while (!std::ranges::all_of(Vms, KnowsVersion))
      Loop->runOnce(true);
  }

private:
  struct Vm {
    ClusterSettings Settings;
    std::unique_ptr<ControlNode> Node;
  };

  RegisterService &configuration(std::size_t Number) {
    return Vms[Number].Node->configuration();
  }

  TemporaryFolder Folder;
  std::unique_ptr<EventLoop> Loop;
  std::vector<Vm> Vms;
};

} // namespace

// Guards against control VMs that never find each other after a loss of all
// power, because their settings name only VMs that are gone.
TEST_CASE("control VMs with outdated seeds find the voters they have stored") {
  ControlVms Vms(3);
  Vms.start({peerEndpoint(0), peerEndpoint(1), peerEndpoint(2)}, true);
  Vms.put({7, "seven"});
  Vms.waitFor(7);
  Vms.stop();
  Vms.start({DeadSeed}, false);
  Vms.put({8, "eight"});
  Vms.waitFor(8);
}
