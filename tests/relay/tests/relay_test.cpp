#include "../control.h"
#include "../loopback.h"
#include "../relay.h"

#include <doctest/doctest.h>

#include <event2/buffer.h>

#include <memory>
#include <string>
#include <vector>

using namespace sapphiremoor::relay;

namespace {

/// One end of a connection. Its callbacks stop the event loop, so that the test
/// can check its condition.
struct TestPeer {
  StreamHandle Stream;
  std::string Received;
  bool Closed = false;

  explicit TestPeer(bufferevent *RawStream) : Stream(RawStream) {
    bufferevent_setcb(RawStream, onRead, nullptr, onEvent, this);
    bufferevent_enable(RawStream, EV_READ);
  }
  void send(const std::string &Text) const {
    bufferevent_write(Stream.get(), Text.data(), Text.size());
  }
  void stopLoop() const {
    event_base_loopbreak(bufferevent_get_base(Stream.get()));
  }
  static void onRead(bufferevent *Source, void *Self) {
    std::string Bytes(evbuffer_get_length(bufferevent_get_input(Source)), '\0');
    bufferevent_read(Source, Bytes.data(), Bytes.size());
    static_cast<TestPeer *>(Self)->Received += Bytes;
    static_cast<TestPeer *>(Self)->stopLoop();
  }
  static void onEvent(bufferevent *, short Events, void *Self) {
    if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    static_cast<TestPeer *>(Self)->Closed = true;
    static_cast<TestPeer *>(Self)->stopLoop();
  }
};

/// A server, a relay in front of it, the relay's control server and clients,
/// all in one event loop.
struct Fixture {
  EventBaseHandle Base{event_base_new()};
  std::vector<std::unique_ptr<TestPeer>> AcceptedPeers;
  ListenerHandle Server = listenOnLoopback(Base.get(), 0, onAccept, this);
  Relay TestRelay{Base.get(), 0, loopbackAddress(boundPort(Server))};
  ControlServer RelayControl{Base.get(), 0, TestRelay};
  std::unique_ptr<TestPeer> ControlClient = connectTo(RelayControl.port());

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self) {
    auto &Env = *static_cast<Fixture *>(Self);
    Env.AcceptedPeers.push_back(std::make_unique<TestPeer>(
        bufferevent_socket_new(Env.Base.get(), Socket, BEV_OPT_CLOSE_ON_FREE)));
  }

  std::unique_ptr<TestPeer> connectTo(uint16_t Port) const {
    bufferevent *Stream =
        bufferevent_socket_new(Base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in Address = loopbackAddress(Port);
    bufferevent_socket_connect(
        Stream, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
    return std::make_unique<TestPeer>(Stream);
  }

  template <typename Condition> void runUntil(Condition Holds) const {
    while (!Holds())
      event_base_dispatch(Base.get());
  }

  std::string sendCommand(const std::string &Line) const {
    ControlClient->Received.clear();
    ControlClient->send(Line + "\n");
    runUntil([&] { return ControlClient->Received.ends_with("\n"); });
    return ControlClient->Received;
  }

  /// Connects a client through the relay and waits until its greeting has
  /// reached the server.
  std::unique_ptr<TestPeer> connectGreetedClient() {
    const std::size_t Index = AcceptedPeers.size();
    auto Client = connectTo(TestRelay.port());
    Client->send("hello");
    runUntil([&] {
      return AcceptedPeers.size() > Index &&
             AcceptedPeers[Index]->Received == "hello";
    });
    return Client;
  }
};

} // namespace

// Guards against a relay that loses bytes or does not close the other side.
TEST_CASE("data and the close of a connection are relayed in both directions") {
  Fixture Env;
  const auto Client = Env.connectGreetedClient();
  Env.AcceptedPeers[0]->send("answer");
  Env.runUntil([&] { return Client->Received == "answer"; });
  Env.AcceptedPeers[0]->send("last");
  Env.runUntil([&] { return Client->Received == "answerlast"; });
  Env.AcceptedPeers[0]->Stream.reset();
  Env.runUntil([&] { return Client->Closed; });
  CHECK(Env.TestRelay.connectionCount() == 0);
}

// Guards against a cut that leaves an open connection or relays a new one.
TEST_CASE("cut closes open and new connections until pass") {
  Fixture Env;
  const auto Client = Env.connectGreetedClient();
  CHECK(Env.sendCommand("cut") == "ok\n");
  Env.runUntil([&] { return Client->Closed && Env.AcceptedPeers[0]->Closed; });
  const auto RefusedClient = Env.connectTo(Env.TestRelay.port());
  Env.runUntil([&] { return RefusedClient->Closed; });
  Env.sendCommand("pass");
  Env.connectGreetedClient();
  CHECK(Env.AcceptedPeers.size() == 2);
}

// Guards against a dropped byte that arrives later, and against a stream that
// resumes without its lost bytes.
TEST_CASE("a dropped direction delivers nothing while the other one works") {
  Fixture Env;
  const auto Client = Env.connectGreetedClient();
  Env.sendCommand("swallow up");
  Client->send("lost");
  Env.AcceptedPeers[0]->send("down");
  Env.runUntil([&] { return Client->Received == "down"; });
  Env.sendCommand("pass");
  Client->send("late");
  Env.AcceptedPeers[0]->send("again");
  Env.runUntil([&] { return Client->Received == "downagain"; });
  Env.connectGreetedClient(); // the relay has read "late" by then
  CHECK(Env.AcceptedPeers[0]->Received == "hello");
  CHECK_FALSE(Client->Closed);
}

// Guards against a freeze that also stops new connections.
TEST_CASE("freeze drops all data of open connections for good, new ones work") {
  Fixture Env;
  const auto FrozenClient = Env.connectGreetedClient();
  Env.sendCommand("freeze");
  const auto NewClient = Env.connectGreetedClient();
  Env.sendCommand("pass");
  FrozenClient->send("lost");
  Env.AcceptedPeers[0]->send("lost");
  Env.AcceptedPeers[1]->send("answer");
  Env.runUntil([&] { return NewClient->Received == "answer"; });
  Env.connectGreetedClient();
  CHECK(Env.AcceptedPeers[0]->Received == "hello");
  CHECK(FrozenClient->Received.empty());
  CHECK_FALSE(FrozenClient->Closed);
}

// Guards against a close that overtakes delayed bytes, and against one that is
// lost because it arrives while the direction drops data.
TEST_CASE("a close is relayed after delayed bytes and after dropping ends") {
  Fixture Env;
  const auto Client = Env.connectGreetedClient();
  Env.sendCommand("delay 20");
  // Bypasses the output buffer, so that the close follows directly.
  CHECK(::send(bufferevent_getfd(Env.AcceptedPeers[0]->Stream.get()), "last", 4,
               0) == 4);
  Env.AcceptedPeers[0]->Stream.reset();
  Env.runUntil([&] { return Client->Closed; });
  CHECK(Client->Received == "last");
  Env.sendCommand("pass");
  const auto SecondClient = Env.connectGreetedClient();
  Env.sendCommand("swallow both");
  Env.AcceptedPeers[1]->Stream.reset();
  Env.sendCommand("swallow both"); // the relay has seen the close
  CHECK_FALSE(SecondClient->Closed);
  Env.sendCommand("pass");
  Env.runUntil([&] { return SecondClient->Closed; });
}

// Guards against held bytes that are lost, and against later bytes that
// overtake delayed ones.
TEST_CASE("held and delayed bytes arrive in order") {
  Fixture Env;
  const auto Client = Env.connectGreetedClient();
  Env.sendCommand("hold");
  Client->send("1");
  Env.sendCommand("hold");
  Env.sendCommand("hold");
  CHECK(Env.AcceptedPeers[0]->Received == "hello");
  Env.sendCommand("delay 30");
  Env.runUntil([&] { return Env.AcceptedPeers[0]->Received == "hello1"; });
  Client->send("2");
  Env.sendCommand("pass");
  Client->send("3");
  Env.runUntil([&] { return Env.AcceptedPeers[0]->Received == "hello123"; });
  CHECK(Env.sendCommand("delay x") == "error\n");
  CHECK(Env.sendCommand("delay 3x") == "error\n");
  CHECK(Env.sendCommand("swallow") == "error\n");
}
