#include "framework/net/peermesh.h"

#include "framework/codec/frame.h"
#include "framework/codec/serial.h"
#include "framework/core/random.h"
#include "framework/net/internal/handshake.h"
#include "framework/net/tests/freedescriptors.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace sapphiremoor;

namespace {

constexpr const char *ClusterKey = "0123456789abcdef";

struct MeshNode {
  MeshNode(EventLoop &Loop, const VmId &Id)
      : Mesh(Loop, Id, ClusterKey,
             {std::chrono::milliseconds(300), std::chrono::milliseconds(20)},
             {[this](const VmId &Sender, std::string_view Payload) {
                Messages.emplace_back(Sender.Name, Payload);
                if (CloseOnMessage)
                  Mesh.closeAll();
              },
              [this](const VmId &Peer) { PeersUp.push_back(Peer); },
              [this](const VmId &Peer) { PeersDown.push_back(Peer); },
              [](const std::string &, const Error &) {}}),
        Port(valueOf(Mesh.listen({"127.0.0.1", 0}))) {}

  std::vector<std::pair<std::string, std::string>> Messages;
  std::vector<VmId> PeersUp;
  std::vector<VmId> PeersDown;
  /// Closes all links while a message is handled, as a VM does that notices
  /// that it was paused.
  bool CloseOnMessage = false;
  PeerMesh Mesh;
  uint16_t Port;
};

/// Connects \p A to \p B and waits until both report the other one.
void connectMeshes(EventLoop &LoopA, MeshNode &A, EventLoop &LoopB,
                   MeshNode &B) {
  A.Mesh.dial({"127.0.0.1", B.Port});
  while (A.PeersUp.empty() || B.PeersUp.empty()) {
    LoopA.runOnce(false);
    LoopB.runOnce(false);
  }
}

/// Runs \p Loop until all messages of \p Sender to \p Peer are written.
void flush(EventLoop &Loop, const MeshNode &Sender, const VmId &Peer) {
  while (Sender.Mesh.pendingBytes(Peer) > 0)
    Loop.runOnce(true);
}

/// Returns a connected socket to the mesh at \p Port.
int connectTo(uint16_t Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0);
  return Fd;
}

/// Sends the greeting with which a VM opens a link that it has dialled.
void sendHello(int Fd, const VmId &Self) {
  const std::string Hello =
      buildFrame(FrameType::Hello, 0, encode(detail::Greeting{Self, 1}),
                 detail::helloSecret(ClusterKey));
  REQUIRE(write(Fd, Hello.data(), Hello.size()) ==
          static_cast<ssize_t>(Hello.size()));
}

constexpr int SeveralRounds = 20;

} // namespace

// Guards against a link that carries messages only in the dialled direction.
TEST_CASE("one dialled link carries messages both ways") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  MeshNode B(Loop, {"b", 2});
  A.Mesh.dial({"127.0.0.1", B.Port});
  while (A.PeersUp.empty() || B.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(A.Mesh.send({"b", 2}, "to b"));
  CHECK(B.Mesh.send({"a", 1}, "to a"));
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

// Guards against an answer to a process that reaches the next process of its
// VM, which takes it for the answer to a request of its own.
TEST_CASE("a message to a process is not sent to the next process of its VM") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  auto Former = std::make_unique<MeshNode>(Loop, VmId{"b", 2});
  Former->Mesh.dial({"127.0.0.1", A.Port});
  while (A.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(A.Mesh.send({"b", 2}, "to the former process"));
  while (Former->Messages.empty())
    Loop.runOnce(true);
  Former.reset();
  MeshNode Successor(Loop, {"b", 3});
  Successor.Mesh.dial({"127.0.0.1", A.Port});
  while (A.Mesh.reachable("b") != VmId{"b", 3})
    Loop.runOnce(true);
  CHECK_FALSE(A.Mesh.send({"b", 2}, "to the former process"));
  CHECK(A.Mesh.send({"b", 3}, "to its successor"));
  while (Successor.Messages.empty())
    Loop.runOnce(true);
  CHECK(Successor.Messages.front().second == "to its successor");
}

// Guards against a request of a former process that is handled after its VM has
// another one: nobody waits for the answer, and nothing ends the request.
TEST_CASE("a late message of a former process is not delivered") {
  EventLoop Loop;
  MeshNode A(Loop, {"a", 1});
  MeshNode Former(Loop, {"b", 2});
  Former.Mesh.dial({"127.0.0.1", A.Port});
  while (A.PeersUp.empty() || Former.PeersUp.empty())
    Loop.runOnce(true);
  MeshNode Successor(Loop, {"b", 3});
  Successor.Mesh.dial({"127.0.0.1", A.Port});
  while (A.Mesh.reachable("b") != VmId{"b", 3} || Successor.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(Former.Mesh.send({"a", 1}, "late"));
  for (int Round = 0; Round < SeveralRounds; ++Round)
    Loop.runOnce(false);
  CHECK(Successor.Mesh.send({"a", 1}, "now"));
  while (A.Messages.empty() || A.Messages.back().second != "now")
    Loop.runOnce(true);
  CHECK(A.Messages.size() == 1);
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
  CHECK(A.Mesh.reachable("b") == VmId{"b", 2});
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

// Guards against messages from before a pause that are acted on after it: they
// have arrived on a link that was closed when the pause was noticed.
TEST_CASE("no message of a link is delivered after closeAll") {
  EventLoop LoopA;
  EventLoop LoopB;
  MeshNode A(LoopA, {"a", 1});
  MeshNode B(LoopB, {"b", 2});
  connectMeshes(LoopA, A, LoopB, B);
  B.CloseOnMessage = true;
  CHECK(A.Mesh.send({"b", 2}, "first"));
  CHECK(A.Mesh.send({"b", 2}, "second"));
  flush(LoopA, A, {"b", 2});
  while (B.Messages.empty())
    LoopB.runOnce(true);
  for (int Round = 0; Round < SeveralRounds; ++Round)
    LoopB.runOnce(false);
  CHECK(B.Messages.size() == 1);
  CHECK(B.PeersDown.size() == 1);
}

// Guards against a memory fault in a VM that closes its links after a pause,
// while the greeting of a VM that has dialled it during the pause is still
// unread: the greeting was handled on a link that was no longer listed.
TEST_CASE("a greeting that waits when closeAll is called opens no link") {
  EventLoop LoopA;
  EventLoop LoopB;
  MeshNode A(LoopA, {"a", 1});
  MeshNode B(LoopB, {"b", 2});
  connectMeshes(LoopA, A, LoopB, B);
  const int Fd = connectTo(B.Port);
  for (int Round = 0; Round < SeveralRounds; ++Round)
    LoopB.runOnce(false);
  // The message is read before the greeting, in one round of the loop.
  B.CloseOnMessage = true;
  CHECK(A.Mesh.send({"b", 2}, "message"));
  flush(LoopA, A, {"b", 2});
  sendHello(Fd, {"c", 3});
  while (B.Messages.empty())
    LoopB.runOnce(true);
  for (int Round = 0; Round < SeveralRounds; ++Round)
    LoopB.runOnce(false);
  CHECK(std::ranges::find(B.PeersUp, VmId{"c", 3}) == B.PeersUp.end());
  // The connection was closed or reset without an answer.
  char Byte = 0;
  CHECK(recv(Fd, &Byte, 1, 0) <= 0);
  close(Fd);
}

// Guards against memory faults of the links in any order of events: VMs that
// close all links at any moment, also inside a message, and greetings, messages
// and silences at the same time. The sanitizers find the fault.
TEST_CASE("links survive closes, greetings and messages in random order") {
  constexpr uint64_t Seeds = 20;
  constexpr int StepsPerSeed = 300;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    EventLoop Loop;
    std::vector<std::unique_ptr<MeshNode>> Nodes;
    for (uint64_t Number = 0; Number < 3; ++Number)
      Nodes.push_back(std::make_unique<MeshNode>(
          Loop, VmId{"n" + std::to_string(Number), Number + 1}));
    std::vector<int> RawConnections;
    for (int Step = 0; Step < StepsPerSeed; ++Step) {
      MeshNode &Node = *Nodes[Rng() % Nodes.size()];
      MeshNode &Other = *Nodes[Rng() % Nodes.size()];
      switch (Rng() % 8) {
      case 0:
        Node.Mesh.closeAll();
        break;
      case 1:
        Node.CloseOnMessage = Rng() % 2 == 0;
        break;
      case 2:
        Node.Mesh.dial({"127.0.0.1", Other.Port});
        break;
      case 3:
        Node.Mesh.stopDialling({"127.0.0.1", Other.Port});
        break;
      case 4:
        RawConnections.push_back(connectTo(Node.Port));
        sendHello(RawConnections.back(), {"raw", Rng() % 3});
        break;
      default:
        Node.Mesh.sendToAll("message");
        break;
      }
      Loop.runOnce(false);
    }
    std::ranges::for_each(RawConnections, close);
  }
}

// Guards against a VM that uses its whole processor without a free descriptor:
// the link that cannot be accepted is reported at once again.
TEST_CASE("a mesh without a free descriptor waits, and then accepts again") {
  EventLoop LoopA, LoopB;
  MeshNode A(LoopA, {"a", 1});
  MeshNode B(LoopB, {"b", 2});
  const int EventsBefore = waitingEvents(LoopB);
  A.Mesh.dial({"127.0.0.1", B.Port});
  LoopA.runOnce(true);
  {
    const NoFreeDescriptors Exhausted;
    LoopB.runOnce(false);
    CHECK(waitingEvents(LoopB) == EventsBefore - 1);
  }
  while (A.PeersUp.empty() || B.PeersUp.empty()) {
    LoopA.runOnce(false);
    LoopB.runOnce(false);
  }
}
