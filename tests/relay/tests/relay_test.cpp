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

/// One end of a connection; its callbacks stop the event loop.
struct End {
  StreamHandle Stream;
  std::string Got;
  bool Closed = false;

  explicit End(bufferevent *Of) : Stream(Of) {
    bufferevent_setcb(Of, onRead, nullptr, onEvent, this);
    bufferevent_enable(Of, EV_READ);
  }
  void send(const std::string &Text) const {
    bufferevent_write(Stream.get(), Text.data(), Text.size());
  }
  void stop() const {
    event_base_loopbreak(bufferevent_get_base(Stream.get()));
  }
  static void onRead(bufferevent *From, void *Self) {
    std::string Bytes(evbuffer_get_length(bufferevent_get_input(From)), '\0');
    bufferevent_read(From, Bytes.data(), Bytes.size());
    static_cast<End *>(Self)->Got += Bytes;
    static_cast<End *>(Self)->stop();
  }
  static void onEvent(bufferevent *, short What, void *Self) {
    if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    static_cast<End *>(Self)->Closed = true;
    static_cast<End *>(Self)->stop();
  }
};

/// A server, a relay in front of it and clients in one event loop.
struct Fixture {
  BaseHandle Base{event_base_new()};
  std::vector<std::unique_ptr<End>> Accepted;
  ListenerHandle Server = listenOn(Base.get(), 0, onAccept, this);
  Relay Relayed{Base.get(), 0, loopback(portOf(Server))};
  Control Commands{Base.get(), 0, Relayed};
  std::unique_ptr<End> Operator = connectTo(Commands.port());

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self) {
    auto &Here = *static_cast<Fixture *>(Self);
    Here.Accepted.push_back(std::make_unique<End>(bufferevent_socket_new(
        Here.Base.get(), Socket, BEV_OPT_CLOSE_ON_FREE)));
  }

  std::unique_ptr<End> connectTo(uint16_t Port) const {
    bufferevent *Stream =
        bufferevent_socket_new(Base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
    const sockaddr_in Address = loopback(Port);
    bufferevent_socket_connect(
        Stream, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
    return std::make_unique<End>(Stream);
  }

  template <typename Condition> void runUntil(Condition Holds) const {
    while (!Holds())
      event_base_dispatch(Base.get());
  }

  std::string command(const std::string &Line) const {
    Operator->Got.clear();
    Operator->send(Line + "\n");
    runUntil([&] { return Operator->Got.ends_with("\n"); });
    return Operator->Got;
  }

  /// Returns a client whose greeting has reached the server.
  std::unique_ptr<End> greetedClient() {
    const std::size_t Index = Accepted.size();
    auto Client = connectTo(Relayed.port());
    Client->send("hello");
    runUntil([&] {
      return Accepted.size() > Index && Accepted[Index]->Got == "hello";
    });
    return Client;
  }
};

} // namespace

// Guards against a relay that loses bytes or does not close the other side.
TEST_CASE("bytes and the end of a connection pass both ways") {
  Fixture Here;
  const auto Client = Here.greetedClient();
  Here.Accepted[0]->send("answer");
  Here.runUntil([&] { return Client->Got == "answer"; });
  Here.Accepted[0]->send("last");
  Here.runUntil([&] { return Client->Got == "answerlast"; });
  Here.Accepted[0]->Stream.reset();
  Here.runUntil([&] { return Client->Closed; });
  CHECK(Here.Relayed.connections() == 0);
}

// Guards against a cut that leaves a connection open or lets a new one in.
TEST_CASE("cut closes open and new connections until pass") {
  Fixture Here;
  const auto Client = Here.greetedClient();
  CHECK(Here.command("cut") == "ok\n");
  Here.runUntil([&] { return Client->Closed && Here.Accepted[0]->Closed; });
  const auto Refused = Here.connectTo(Here.Relayed.port());
  Here.runUntil([&] { return Refused->Closed; });
  Here.command("pass");
  Here.greetedClient();
  CHECK(Here.Accepted.size() == 2);
}

// Guards against a swallowed byte that arrives, and against a stream that
// goes on without its lost bytes.
TEST_CASE("a swallowed direction stays silent, the other one passes") {
  Fixture Here;
  const auto Client = Here.greetedClient();
  Here.command("swallow up");
  Client->send("lost");
  Here.Accepted[0]->send("down");
  Here.runUntil([&] { return Client->Got == "down"; });
  Here.command("pass");
  Client->send("late");
  Here.Accepted[0]->send("again");
  Here.runUntil([&] { return Client->Got == "downagain"; });
  Here.greetedClient(); // passes after "late" was read by the relay
  CHECK(Here.Accepted[0]->Got == "hello");
  CHECK_FALSE(Client->Closed);
}

// Guards against a freeze that also stops new connections.
TEST_CASE("freeze silences open connections for good, new ones work") {
  Fixture Here;
  const auto Frozen = Here.greetedClient();
  Here.command("freeze");
  const auto Fresh = Here.greetedClient();
  Here.command("pass");
  Frozen->send("lost");
  Here.Accepted[0]->send("lost");
  Here.Accepted[1]->send("answer");
  Here.runUntil([&] { return Fresh->Got == "answer"; });
  Here.greetedClient();
  CHECK(Here.Accepted[0]->Got == "hello");
  CHECK(Frozen->Got.empty());
  CHECK_FALSE(Frozen->Closed);
}

// Guards against a close that overtakes delayed bytes, or that is forgotten
// because it came while the direction was silent.
TEST_CASE("a close waits for delayed bytes and for the end of a silence") {
  Fixture Here;
  const auto Client = Here.greetedClient();
  Here.command("delay 20");
  // Written at once, so that the close follows directly.
  CHECK(::send(bufferevent_getfd(Here.Accepted[0]->Stream.get()), "last", 4,
               0) == 4);
  Here.Accepted[0]->Stream.reset();
  Here.runUntil([&] { return Client->Closed; });
  CHECK(Client->Got == "last");
  Here.command("pass");
  const auto Second = Here.greetedClient();
  Here.command("swallow both");
  Here.Accepted[1]->Stream.reset();
  Here.command("swallow both"); // the relay has seen the close
  CHECK_FALSE(Second->Closed);
  Here.command("pass");
  Here.runUntil([&] { return Second->Closed; });
}

// Guards against held bytes that are lost, and delayed ones that overtake.
TEST_CASE("held and delayed bytes arrive in order") {
  Fixture Here;
  const auto Client = Here.greetedClient();
  Here.command("hold");
  Client->send("1");
  Here.command("hold");
  Here.command("hold");
  CHECK(Here.Accepted[0]->Got == "hello");
  Here.command("delay 30");
  Here.runUntil([&] { return Here.Accepted[0]->Got == "hello1"; });
  Client->send("2");
  Here.command("pass");
  Client->send("3");
  Here.runUntil([&] { return Here.Accepted[0]->Got == "hello123"; });
  CHECK(Here.command("delay x") == "error\n");
  CHECK(Here.command("delay 3x") == "error\n");
  CHECK(Here.command("swallow") == "error\n");
}
