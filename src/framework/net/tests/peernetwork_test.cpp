#include "framework/net/peernetwork.h"

#include "framework/codec/frame.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sapphiremoor;

namespace {

constexpr const char *ClusterKey = "0123456789abcdef";

/// One VM of the network under test, with a record of its callbacks.
struct Node {
  explicit Node(EventLoop &Loop, const VmId &Id,
                const std::string &Secret = ClusterKey)
      : Network(Loop, Id, Secret, {},
                {[this](const VmId &, std::string_view Payload) {
                   Messages.emplace_back(Payload);
                 },
                 [this](const VmId &Peer) { PeersUp.push_back(Peer); },
                 [this](const VmId &Peer) { PeersDown.push_back(Peer); },
                 [this](const std::string &, const Error &Reason) {
                   Rejections.push_back(Reason);
                 }}),
        Port(valueOf(Network.listen({"127.0.0.1", 0}))) {}

  std::vector<std::string> Messages;
  std::vector<VmId> PeersUp;
  std::vector<VmId> PeersDown;
  std::vector<Error> Rejections;
  PeerNetwork Network;
  uint16_t Port;
};

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

} // namespace

TEST_CASE("two VMs connect and exchange a large message") {
  EventLoop Loop;
  Node A(Loop, {"a", 1});
  Node B(Loop, {"b", 2});
  A.Network.addPeer("b", {"127.0.0.1", B.Port});
  B.Network.addPeer("a", {"127.0.0.1", A.Port});
  while (A.PeersUp.empty() || B.PeersUp.empty())
    Loop.runOnce(true);
  CHECK(A.PeersUp[0] == VmId{"b", 2});
  const std::string Large(1 << 20, 'x');
  CHECK(A.Network.send("b", Large));
  while (B.Messages.empty())
    Loop.runOnce(true);
  CHECK(B.Messages[0] == Large);
  CHECK_FALSE(A.Network.send("c", "nobody"));
}

TEST_CASE("a VM whose links close is reported down") {
  EventLoop Loop;
  Node A(Loop, {"a", 1});
  auto B = std::make_unique<Node>(Loop, VmId{"b", 2});
  const uint16_t Port = B->Port;
  A.Network.addPeer("b", {"127.0.0.1", Port});
  B->Network.addPeer("a", {"127.0.0.1", A.Port});
  while (A.PeersUp.empty())
    Loop.runOnce(true);
  B.reset();
  while (A.PeersDown.empty())
    Loop.runOnce(true);
  CHECK(A.PeersDown[0] == VmId{"b", 2});
  CHECK_FALSE(A.Network.reachable("b").has_value());
}

TEST_CASE("a VM with another cluster key is refused") {
  EventLoop Loop;
  Node A(Loop, {"a", 1});
  Node B(Loop, {"b", 2}, "another secret key");
  B.Network.addPeer("a", {"127.0.0.1", A.Port});
  while (A.Rejections.empty())
    Loop.runOnce(true);
  CHECK(A.Rejections[0].Kind == ErrorKind::BadFrame);
  CHECK(A.PeersUp.empty());
}

TEST_CASE("garbage and oversized frames close only their own link") {
  EventLoop Loop;
  Node A(Loop, {"a", 1});
  const int GarbageFd = connectTo(A.Port);
  const std::string Bytes(200, '\x01');
  REQUIRE(send(GarbageFd, Bytes.data(), Bytes.size(), 0) == 200);
  while (A.Rejections.empty())
    Loop.runOnce(true);
  close(GarbageFd);
  const int OversizedFd = connectTo(A.Port);
  std::string FrameBytes =
      buildFrame(FrameType::Hello, 0, "", "0123456789abcdef");
  FrameBytes[0] = '\x7f';
  REQUIRE(send(OversizedFd, FrameBytes.data(), FrameBytes.size(), 0) > 0);
  while (A.Rejections.size() < 2)
    Loop.runOnce(true);
  CHECK(A.Rejections[1].Message.find("exceeds the limit") != std::string::npos);
  close(OversizedFd);
  Node B(Loop, {"b", 2});
  A.Network.addPeer("b", {"127.0.0.1", B.Port});
  B.Network.addPeer("a", {"127.0.0.1", A.Port});
  while (A.PeersUp.empty())
    Loop.runOnce(true);
}
