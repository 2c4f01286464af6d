#include "framework/net/peermesh.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {

constexpr const char *ClusterKey = "0123456789abcdef";

struct MeshNode {
  MeshNode(EventLoop &Loop, const VmId &Id)
      : Mesh(Loop, Id, ClusterKey,
             {std::chrono::milliseconds(300), std::chrono::milliseconds(20)},
             {[this](const VmId &Sender, std::string_view Payload) {
                Messages.emplace_back(Sender.Name, Payload);
              },
              [this](const VmId &Peer) { PeersUp.push_back(Peer); },
              [this](const VmId &Peer) { PeersDown.push_back(Peer); },
              [](const std::string &, const Error &) {}}),
        Port(valueOf(Mesh.listen({"127.0.0.1", 0}))) {}

  std::vector<std::pair<std::string, std::string>> Messages;
  std::vector<VmId> PeersUp;
  std::vector<VmId> PeersDown;
  PeerMesh Mesh;
  uint16_t Port;
};

} // namespace

// Guards against a link that carries messages only in the dialled direction.
TEST_CASE("one dialled link carries messages both ways") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  MeshNode B(Loop, {"b", 2});
  A.Mesh.dial({"127.0.0.1", B.Port});
  while (A.PeersUp.empty() || B.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(A.Mesh.send("b", "to b"));
  CHECK(B.Mesh.send("a", "to a"));
  while (A.Messages.empty() || B.Messages.empty())
    Loop.runOnce(true);
  CHECK(A.Messages.front() == std::pair<std::string, std::string>("b", "to a"));
  CHECK(B.Messages.front() == std::pair<std::string, std::string>("a", "to b"));
}

// Guards against a VM that is reported down while one of two parallel links to
// it still works.
TEST_CASE("a peer with two links is reported once and stays up") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  MeshNode B(Loop, {"b", 2});
  A.Mesh.dial({"127.0.0.1", B.Port});
  B.Mesh.dial({"127.0.0.1", A.Port});
  for (int Round = 0; Round < 50; ++Round)
    Loop.runOnce(false);
  while (A.PeersUp.empty() || B.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(A.PeersUp.size() == 1);
  CHECK(A.PeersDown.empty());
}

// Guards against a silent peer that is never reported down.
TEST_CASE("a silent peer is reported down, and up once it is redialled") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  MeshNode B(Loop, {"b", 2});
  A.Mesh.dial({"127.0.0.1", B.Port});
  while (A.PeersDown.empty())
    Loop.runOnce(true);
  CHECK(A.PeersDown.front() == VmId{"b", 2});
  while (A.PeersUp.size() < 2)
    Loop.runOnce(true);
  CHECK(A.Mesh.reachable("b"));
}

// Guards against a VM that dials itself when its own address is among the
// seeds.
TEST_CASE("a VM does not dial its own address") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  A.Mesh.dial({"127.0.0.1", A.Port});
  for (int Round = 0; Round < 20; ++Round)
    Loop.runOnce(false);
  CHECK(A.PeersUp.empty());
}
