#include "framework/net/backendclient.h"
#include "framework/net/httpserver.h"
#include "framework/net/tests/freedescriptors.h"
#include "framework/net/timer.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

using namespace sapphiremoor;

namespace {

/// Opens a blocking connection to a local port and sends \p Bytes.
int connectAndSend(uint16_t Port, const std::string &Bytes) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
  REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) == 0);
  REQUIRE(send(Fd, Bytes.data(), Bytes.size(), 0) ==
          static_cast<ssize_t>(Bytes.size()));
  return Fd;
}

/// Runs the loop until the peer closes \p Fd; returns what it sent.
std::string readUntilClosed(EventLoop &Loop, int Fd) {
  std::string Received;
  for (;;) {
    char Buffer[4096];
    const ssize_t Count = recv(Fd, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Count > 0)
      Received.append(Buffer, static_cast<std::size_t>(Count));
    else if (Count == 0)
      break;
    else
      Loop.runOnce(true);
  }
  close(Fd);
  return Received;
}

HttpCallResult callAndWait(EventLoop &Loop, BackendClient &Client,
                           uint16_t Port, const HttpCallRequest &Request) {
  std::optional<HttpCallResult> Result;
  Client.send({"127.0.0.1", Port}, Request,
              [&](HttpCallResult R) { Result = std::move(R); });
  while (!Result.has_value())
    Loop.runOnce(true);
  return *Result;
}

} // namespace

TEST_CASE("a complete request reaches the handler, which may respond later") {
  EventLoop Loop;
  std::optional<HttpRequest> ReceivedRequest;
  HttpServer Server(
      Loop, {}, [&](HttpRequest Request, Responder RequestResponder) {
        ReceivedRequest = std::move(Request);
        Loop.post([RequestResponder] {
          RequestResponder.respond({201, "{}", "application/json"});
        });
      });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  BackendClient Client(Loop, {});
  HttpCallRequest Request;
  Request.Path = "/v1/jobs/k?wait_ms=5&x=a%20b";
  Request.Headers = {{"Authorization", "Bearer secret"}};
  Request.Body = "body";
  const HttpCallResult Result = callAndWait(Loop, Client, Port, Request);
  CHECK(Result.Status == HttpCallStatus::Answered);
  CHECK(Result.StatusCode == 201);
  CHECK(ReceivedRequest->Method == HttpMethod::Post);
  CHECK(ReceivedRequest->Path == "/v1/jobs/k");
  CHECK(ReceivedRequest->Query.at("wait_ms") == "5");
  CHECK(ReceivedRequest->Query.at("x") == "a b");
  CHECK(ReceivedRequest->Token == "secret");
  CHECK(ReceivedRequest->Body == "body");
  CHECK(Server.openRequests() == 0);
}

TEST_CASE("a response to a disconnected client is dropped safely") {
  EventLoop Loop;
  std::vector<Responder> PendingResponders;
  HttpServer Server(Loop, {}, [&](const HttpRequest &, const Responder &R) {
    PendingResponders.push_back(R);
  });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  const std::string Text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const int ClosedFd = connectAndSend(Port, Text);
  while (PendingResponders.empty())
    Loop.runOnce(true);
  close(ClosedFd);
  // Larger than the socket buffers, so that the failed write is detected.
  PendingResponders[0].respond({200, std::string(8 << 20, 'x'), "text/plain"});
  const int NextFd = connectAndSend(Port, Text);
  while (PendingResponders.size() < 2)
    Loop.runOnce(true);
  PendingResponders[1].respond({200, "x", "text/plain"});
  CHECK(Server.openRequests() == 0);
  close(NextFd);
}

namespace {

enum class Disconnect { Close, Reset };

void disconnect(int Fd, Disconnect How) {
  const linger Reset{1, 0};
  if (How == Disconnect::Reset)
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  close(Fd);
}

/// A server that leaves its requests open. Counts the clients that have
/// disconnected meanwhile.
struct WaitingServer {
  uint16_t listen() { return valueOf(Server.listen({"127.0.0.1", 0})); }

  void waitForRequests(std::size_t Count) {
    while (Responders.size() < Count)
      Loop.runOnce(true);
  }

  EventLoop Loop;
  std::vector<Responder> Responders;
  std::vector<std::string> Paths;
  int Disconnects = 0;
  HttpServer Server{
      Loop, {}, [this](const HttpRequest &Request, const Responder &R) {
        Paths.push_back(Request.Path);
        Responders.push_back(R);
        R.onDisconnect([this] { ++Disconnects; });
      }};
};

} // namespace

// Guards against work that goes on for a client that has gone: a disconnect was
// noticed only when the response was written.
TEST_CASE("a client that disconnects is noticed while its request is open") {
  for (const Disconnect How : {Disconnect::Close, Disconnect::Reset}) {
    WaitingServer Waiting;
    const int Fd =
        connectAndSend(Waiting.listen(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    Waiting.waitForRequests(1);
    CHECK(Waiting.Responders[0].open());
    disconnect(Fd, How);
    while (Waiting.Disconnects == 0)
      Waiting.Loop.runOnce(true);
    CHECK_FALSE(Waiting.Responders[0].open());
    CHECK(Waiting.Server.openRequests() == 0);
    Waiting.Responders[0].respond({200, "x", "text/plain"});
    CHECK(Waiting.Disconnects == 1);
  }
}

// Guards against a handler that frees the last responder from within the notice
// that its client has gone.
TEST_CASE("a disconnect may release the responder of its request") {
  EventLoop Loop;
  std::optional<Responder> Pending;
  HttpServer Server(Loop, {}, [&](const HttpRequest &, const Responder &R) {
    Pending = R;
    R.onDisconnect([&] { Pending.reset(); });
  });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  const int Fd = connectAndSend(Port, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  while (!Pending)
    Loop.runOnce(true);
  close(Fd);
  while (Pending)
    Loop.runOnce(true);
  CHECK(Server.openRequests() == 0);
}

// Guards against a request that is lost or ends the process because it arrives
// while the request before it is open.
TEST_CASE("a request sent before the previous response is answered after it") {
  WaitingServer Waiting;
  const int Fd =
      connectAndSend(Waiting.listen(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  Waiting.waitForRequests(1);
  const std::string Next = "GET /b HTTP/1.1\r\nHost: x\r\n"
                           "Connection: close\r\n\r\n";
  REQUIRE(send(Fd, Next.data(), Next.size(), 0) ==
          static_cast<ssize_t>(Next.size()));
  Waiting.Loop.runOnce(true);
  CHECK(Waiting.Responders.size() == 1);
  Waiting.Responders[0].respond({200, "first", "text/plain"});
  Waiting.waitForRequests(2);
  CHECK(Waiting.Paths == std::vector<std::string>{"/a", "/b"});
  Waiting.Responders[1].respond({200, "second", "text/plain"});
  const std::string Received = readUntilClosed(Waiting.Loop, Fd);
  CHECK(Received.find("first") < Received.find("second"));
  CHECK(Received.find("second") != std::string::npos);
  CHECK(Waiting.Disconnects == 0);
}

// Guards against a slow response that is cut off by the limit on idle
// connections, since the server reads while a request is open. The connection
// is closed by that limit only after the response.
TEST_CASE("a request may stay open for longer than a connection may be idle") {
  EventLoop Loop;
  HttpLimits Limits;
  Limits.IdleTimeout = std::chrono::seconds(1);
  std::optional<Responder> Pending;
  Timer ResponseTimer(Loop, [&] { Pending->respond({200, "late", "x"}); });
  HttpServer Server(Loop, Limits, [&](const HttpRequest &, const Responder &R) {
    Pending = R;
    ResponseTimer.start(std::chrono::milliseconds(1500));
  });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  const int Fd = connectAndSend(Port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(readUntilClosed(Loop, Fd).find("late") != std::string::npos);
}

TEST_CASE("a client with slow headers gets 408 with a remedy and is closed") {
  EventLoop Loop;
  HttpLimits Limits;
  Limits.RequestTimeout = std::chrono::milliseconds(50);
  HttpServer Server(Loop, Limits, [](const HttpRequest &, const Responder &) {
    FAIL("an incomplete request must not be handled");
  });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  const int Fd = connectAndSend(Port, "GET / HTTP/1.1\r\nHo");
  const std::string ResponseText = readUntilClosed(Loop, Fd);
  CHECK(ResponseText.starts_with("HTTP/1.1 408"));
  CHECK(ResponseText.find("header_timeout_ms") != std::string::npos);
}

TEST_CASE(
    "an oversized header or body is refused and the server keeps working") {
  EventLoop Loop;
  HttpLimits Limits;
  Limits.HeaderBytes = 1000;
  Limits.BodyBytes = 1000;
  int Handled = 0;
  HttpServer Server(
      Loop, Limits,
      [&](const HttpRequest &, const Responder &RequestResponder) {
        ++Handled;
        RequestResponder.respond({});
      });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  BackendClient Client(Loop, {});
  HttpCallRequest Large;
  Large.Path = "/";
  Large.Body = std::string(1001, 'x');
  const HttpCallResult Refused = callAndWait(Loop, Client, Port, Large);
  CHECK(Refused.StatusCode == 413);
  CHECK(Refused.Body.find("too_large") != std::string::npos);
  Large.Body = std::string(5000, 'x');
  CHECK(callAndWait(Loop, Client, Port, Large).StatusCode != 200);
  HttpCallRequest LongHeader;
  LongHeader.Path = "/";
  LongHeader.Headers = {{"X-Long", std::string(5000, 'x')}};
  CHECK(callAndWait(Loop, Client, Port, LongHeader).StatusCode != 200);
  CHECK(Handled == 0);
  HttpCallRequest Small;
  Small.Path = "/";
  CHECK(callAndWait(Loop, Client, Port, Small).StatusCode == 200);
}

TEST_CASE("a request whose handler drops the responder gets a 500 response") {
  EventLoop Loop;
  HttpServer Server(Loop, {}, [](const HttpRequest &, const Responder &) {});
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  BackendClient Client(Loop, {});
  HttpCallRequest Request;
  Request.Path = "/";
  CHECK(callAndWait(Loop, Client, Port, Request).StatusCode == 500);
}

// Guards against a process that uses its whole processor without a free
// descriptor: the connection that cannot be accepted is reported at once again.
TEST_CASE("a server without a free descriptor waits, and then accepts again") {
  EventLoop Loop;
  HttpServer Server(Loop, {}, [](const HttpRequest &, const Responder &R) {
    R.respond({200, "x", "text/plain", {{"Connection", "close"}}});
  });
  const uint16_t Port = valueOf(Server.listen({"127.0.0.1", 0}));
  const int Fd = connectAndSend(Port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const int EventsBefore = waitingEvents(Loop);
  {
    const NoFreeDescriptors Exhausted;
    Loop.runOnce(false);
    CHECK(waitingEvents(Loop) == EventsBefore - 1);
  }
  CHECK(readUntilClosed(Loop, Fd).starts_with("HTTP/1.1 200"));
}
