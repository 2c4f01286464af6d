#ifndef REVIEW_KIT2_NET_H
#define REVIEW_KIT2_NET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

inline int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

inline int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

struct Address {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const Address &Target) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(Target.Port));
  inet_pton(AF_INET, Target.Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// One HTTP message. Header names are in lower case.
struct Message {
  std::string FirstLine;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Reads HTTP messages from a socket until a deadline.
class Reader {
public:
  explicit Reader(int Fd) : Fd(Fd) {}

  bool read(Message &Result, int64_t DeadlineMs) {
    std::size_t End = std::string::npos;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(DeadlineMs))
        return false;
    Result = {};
    std::size_t Position = Buffer.find("\r\n");
    Result.FirstLine = Buffer.substr(0, Position);
    while (Position < End) {
      const std::size_t Begin = Position + 2;
      Position = Buffer.find("\r\n", Begin);
      const std::string Line = Buffer.substr(Begin, Position - Begin);
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      for (char &Letter : Name)
        Letter = static_cast<char>(tolower(Letter));
      std::size_t Start = Colon + 1;
      while (Start < Line.size() && Line[Start] == ' ')
        ++Start;
      Result.Headers[Name] = Line.substr(Start);
    }
    std::size_t Length = 0;
    if (const auto It = Result.Headers.find("content-length");
        It != Result.Headers.end())
      Length = std::stoul(It->second);
    while (Buffer.size() < End + 4 + Length)
      if (!fill(DeadlineMs))
        return false;
    Result.Body = Buffer.substr(End + 4, Length);
    Buffer.erase(0, End + 4 + Length);
    return true;
  }

private:
  bool fill(int64_t DeadlineMs) {
    const int64_t Left = DeadlineMs - nowMs();
    pollfd Poll{Fd, POLLIN, 0};
    if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left)) != 1)
      return false;
    char Bytes[65536];
    const ssize_t Size = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Size));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline bool sendAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

/// Answer to a request; Status is 0 if there was none.
struct Answer {
  int Status = 0;
  std::string Body;
};

/// Client of one address that keeps its connection open.
class Client {
public:
  explicit Client(Address Target) : Target(std::move(Target)) {}
  ~Client() { disconnect(); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  Answer call(const std::string &Method, const std::string &Path,
              const std::string &Host, const std::string &Body,
              int64_t TimeoutMs, bool SendDeadline = false) {
    const int64_t Deadline = nowMs() + TimeoutMs;
    if (Fd < 0 && !connectBy(Deadline))
      return {};
    std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                          "\r\nContent-Type: application/json\r\n";
    if (SendDeadline)
      Request += "X-Deadline-Ms: " + std::to_string(TimeoutMs) + "\r\n";
    Request += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    Message Response;
    if (!sendAll(Fd, Request + Body) || !Input->read(Response, Deadline)) {
      disconnect();
      return {};
    }
    if (const auto It = Response.Headers.find("connection");
        It != Response.Headers.end() && It->second == "close")
      disconnect();
    const std::size_t Space = Response.FirstLine.find(' ');
    if (Space == std::string::npos)
      return {};
    return {atoi(Response.FirstLine.c_str() + Space), Response.Body};
  }

private:
  bool connectBy(int64_t Deadline) {
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in To = socketAddress(Target);
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) != 0) {
      pollfd Poll{Fd, POLLOUT, 0};
      const int64_t Left = Deadline - nowMs();
      if (errno != EINPROGRESS || Left <= 0 ||
          poll(&Poll, 1, static_cast<int>(Left)) != 1 ||
          getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
          Error != 0) {
        disconnect();
        return false;
      }
    }
    fcntl(Fd, F_SETFL, fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
    const int Enable = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
    Input = std::make_unique<Reader>(Fd);
    return true;
  }

  void disconnect() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
    Input.reset();
  }

  Address Target;
  int Fd = -1;
  std::unique_ptr<Reader> Input;
};

/// HTTP server with one thread for each connection.
class Server {
public:
  using Handler =
      std::function<Answer(const std::string &Method, const std::string &Path,
                           const Message &Request)>;

  Server(const Address &Local, Handler OnRequest)
      : OnRequest(std::move(OnRequest)) {
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Enable = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
    const sockaddr_in To = socketAddress(Local);
    Bound =
        bind(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0 &&
        listen(Fd, 128) == 0;
    if (Bound)
      std::thread([this] { accept(); }).detach();
  }

  bool bound() const { return Bound; }
  /// Stops listening; open connections end with their next request.
  void stop() {
    Stopped = true;
    shutdown(Fd, SHUT_RDWR);
    close(Fd);
  }

private:
  void accept() {
    for (;;) {
      const int Connection = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Connection < 0)
        return;
      const int Enable = 1;
      setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
      std::thread([this, Connection] { serve(Connection); }).detach();
    }
  }

  void serve(int Connection) {
    Reader Input(Connection);
    Message Request;
    while (Input.read(Request, nowMs() + 200000)) {
      const std::size_t First = Request.FirstLine.find(' ');
      const std::size_t Second = Request.FirstLine.find(' ', First + 1);
      const Answer Reply = OnRequest(
          Request.FirstLine.substr(0, First),
          Request.FirstLine.substr(First + 1, Second - First - 1), Request);
      if (Reply.Status == 0 || Stopped)
        break;
      if (!sendAll(Connection, "HTTP/1.1 " + std::to_string(Reply.Status) +
                                   " X\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                   std::to_string(Reply.Body.size()) +
                                   "\r\n\r\n" + Reply.Body))
        break;
    }
    close(Connection);
  }

  Handler OnRequest;
  int Fd = -1;
  bool Bound = false;
  std::atomic<bool> Stopped{false};
};

} // namespace kit

#endif
