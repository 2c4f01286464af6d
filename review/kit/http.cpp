#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <thread>

namespace review {

namespace {

constexpr int PollStepMs = 20;

sockaddr_in socketAddress(const Address &Where) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Where.Port);
  inet_pton(AF_INET, Where.Ip.c_str(), &Result.sin_addr);
  return Result;
}

int listenOn(const Address &Where) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Enable = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  const sockaddr_in Local = socketAddress(Where);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Local),
           sizeof(Local)) != 0 ||
      listen(Descriptor, 128) != 0) {
    std::cerr << "cannot listen on " << text(Where) << "\n";
    std::exit(2);
  }
  return Descriptor;
}

int connectTo(const Address &Where, int64_t TimeoutMs) {
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Remote = socketAddress(Where);
  if (connect(Descriptor, reinterpret_cast<const sockaddr *>(&Remote),
              sizeof(Remote)) != 0) {
    pollfd Wait{Descriptor, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (poll(&Wait, 1, static_cast<int>(TimeoutMs)) != 1 ||
        getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      close(Descriptor);
      return -1;
    }
  }
  const int Enable = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  return Descriptor;
}

void closeWithReset(int Descriptor) {
  const linger Reset{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  close(Descriptor);
}

bool sendAll(int Descriptor, const std::string &Bytes, int64_t Deadline) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size = send(Descriptor, Bytes.data() + Sent,
                              Bytes.size() - Sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size > 0) {
      Sent += static_cast<std::size_t>(Size);
      continue;
    }
    if (Size < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    pollfd Wait{Descriptor, POLLOUT, 0};
    poll(&Wait, 1, PollStepMs);
    if (nowMs() > Deadline)
      return false;
  }
  return true;
}

std::string lowerCase(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  });
  return Text;
}

/// Start line, headers and body of a message.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Takes one message off the front of \p Bytes if it is complete.
std::optional<Message> takeMessage(std::string &Bytes) {
  const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  Message Result;
  std::size_t LineStart = Bytes.find("\r\n");
  Result.StartLine = Bytes.substr(0, LineStart);
  while (LineStart < HeadEnd) {
    LineStart += 2;
    const std::size_t LineEnd = Bytes.find("\r\n", LineStart);
    const std::string Line = Bytes.substr(LineStart, LineEnd - LineStart);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Result.Headers[lowerCase(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    LineStart = LineEnd;
  }
  const auto LengthIt = Result.Headers.find("content-length");
  const std::size_t Length =
      LengthIt == Result.Headers.end() ? 0 : std::stoul(LengthIt->second);
  const std::size_t BodyStart = HeadEnd + 4;
  if (Bytes.size() < BodyStart + Length)
    return std::nullopt;
  Result.Body = Bytes.substr(BodyStart, Length);
  Bytes.erase(0, BodyStart + Length);
  return Result;
}

/// Appends what has arrived. Returns false at the end of the connection.
bool receive(int Descriptor, std::string &Bytes, int WaitMs) {
  pollfd Wait{Descriptor, POLLIN, 0};
  if (poll(&Wait, 1, WaitMs) <= 0)
    return true;
  char Buffer[65536];
  const ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  if (Size > 0)
    Bytes.append(Buffer, static_cast<std::size_t>(Size));
  return Size > 0 || (Size < 0 && (errno == EAGAIN || errno == EINTR));
}

} // namespace

std::string text(const Address &Where) {
  return Where.Ip + ":" + std::to_string(Where.Port);
}

bool isFree(const Address &Where) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Local = socketAddress(Where);
  const bool Free = bind(Descriptor, reinterpret_cast<const sockaddr *>(&Local),
                         sizeof(Local)) == 0;
  close(Descriptor);
  return Free;
}

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

HttpAnswer callHttp(const Address &Server, const HttpRequest &Request,
                    int64_t TimeoutMs) {
  const int64_t Deadline = nowMs() + TimeoutMs;
  const int Descriptor = connectTo(Server, TimeoutMs);
  if (Descriptor < 0)
    return {};
  std::string Bytes = Request.Method + " " + Request.Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Request.Headers)
    Bytes += Name + ": " + Value + "\r\n";
  Bytes += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(Request.Body.size()) + "\r\n\r\n" + Request.Body;
  HttpAnswer Answer;
  std::string Received;
  bool Open = sendAll(Descriptor, Bytes, Deadline);
  while (Open && nowMs() < Deadline) {
    Open = receive(Descriptor, Received, PollStepMs);
    if (const auto Complete = takeMessage(Received)) {
      Answer.Status = std::stoi(Complete->StartLine.substr(9, 3));
      Answer.Body = Complete->Body;
      break;
    }
  }
  close(Descriptor);
  return Answer;
}

HttpServer::HttpServer(const Address &Where, Handler OnRequest)
    : OnRequest(std::move(OnRequest)), Listener(listenOn(Where)) {
  ++Threads;
  std::thread([this] {
    acceptConnections();
    --Threads;
  }).detach();
}

HttpServer::~HttpServer() {
  Closing = true;
  while (Threads > 0)
    sleepMs(1);
}

void HttpServer::acceptConnections() {
  while (!Closing) {
    pollfd Wait{Listener, POLLIN, 0};
    if (poll(&Wait, 1, PollStepMs) <= 0)
      continue;
    const int Descriptor = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    ++Threads;
    std::thread([this, Descriptor] {
      serve(Descriptor);
      --Threads;
    }).detach();
  }
  close(Listener);
}

void HttpServer::serve(int Descriptor) {
  const int Enable = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  std::string Bytes;
  while (!Closing && receive(Descriptor, Bytes, PollStepMs)) {
    while (const auto Received = takeMessage(Bytes)) {
      HttpRequest Request;
      const std::size_t FirstSpace = Received->StartLine.find(' ');
      const std::size_t SecondSpace =
          Received->StartLine.find(' ', FirstSpace + 1);
      Request.Method = Received->StartLine.substr(0, FirstSpace);
      Request.Path = Received->StartLine.substr(FirstSpace + 1,
                                                SecondSpace - FirstSpace - 1);
      Request.Headers = Received->Headers;
      Request.Body = Received->Body;
      const HttpAnswer Answer = OnRequest(Request);
      if (Closing || Answer.Status == 0)
        continue;
      sendAll(Descriptor,
              "HTTP/1.1 " + std::to_string(Answer.Status) +
                  " -\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(Answer.Body.size()) + "\r\n\r\n" + Answer.Body,
              nowMs() + 1000);
    }
  }
  // A process that has ended answers nothing more: its connections are reset.
  closeWithReset(Descriptor);
}

Relay::Relay(const Address &Where, const Address &Target, Filter Passes)
    : Target(Target), Passes(std::move(Passes)), Listener(listenOn(Where)) {
  ++Threads;
  std::thread([this] {
    acceptConnections();
    --Threads;
  }).detach();
}

Relay::~Relay() {
  Closing = true;
  while (Threads > 0)
    sleepMs(1);
}

void Relay::acceptConnections() {
  while (!Closing) {
    pollfd Wait{Listener, POLLIN, 0};
    if (poll(&Wait, 1, PollStepMs) <= 0)
      continue;
    const int Descriptor = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    ++Threads;
    std::thread([this, Descriptor] {
      forward(Descriptor);
      --Threads;
    }).detach();
  }
  close(Listener);
}

void Relay::forward(int Client) {
  const int Server = connectTo(Target, 1000);
  const int Round = ResetRound;
  bool Open = Server >= 0;
  std::string FirstBytes;
  while (Open && !Closing && ResetRound == Round) {
    if (Passes && !FirstBytes.empty() && !Passes(FirstBytes)) {
      sleepMs(5);
      continue;
    }
    pollfd Wait[2] = {{Client, POLLIN, 0}, {Server, POLLIN, 0}};
    if (poll(Wait, 2, 5) <= 0)
      continue;
    for (int Side = 0; Side < 2 && Open; ++Side) {
      if (Wait[Side].revents == 0)
        continue;
      std::string Bytes;
      Open = receive(Wait[Side].fd, Bytes, 0);
      if (Side == 0 && FirstBytes.empty())
        FirstBytes = Bytes;
      if (Passes && !Passes(FirstBytes))
        continue;
      Open = Open && sendAll(Wait[1 - Side].fd, Bytes, nowMs() + 1000);
    }
  }
  if (ResetRound != Round) {
    closeWithReset(Client);
    closeWithReset(Server);
    return;
  }
  close(Client);
  if (Server >= 0)
    close(Server);
}

} // namespace review
