#ifndef REVIEW_KIT3_HTTP_H
#define REVIEW_KIT3_HTTP_H

// A small blocking HTTP/1.1 server and client on loopback addresses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

struct Endpoint {
  std::string Ip;
  uint16_t Port = 0;

  std::string text() const { return Ip + ":" + std::to_string(Port); }

  static Endpoint parse(const std::string &Text) {
    const auto Colon = Text.rfind(':');
    return {Text.substr(0, Colon),
            static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1)))};
  }
};

inline sockaddr_in socketAddress(const Endpoint &Where) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.Port);
  inet_pton(AF_INET, Where.Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Returns a listening socket, or -1 if the address is in use.
inline int listenOn(const Endpoint &Where) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = socketAddress(Where);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Socket, 512) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

struct HttpMessage {
  /// Request line or status line.
  std::string First;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &Name) const {
    const auto It = Headers.find(Name);
    return It == Headers.end() ? "" : It->second;
  }
};

enum class ReadResult { Whole, Closed, TimedOut };

/// Reads one message; Buffer keeps the bytes that follow it.
inline ReadResult readMessage(int Socket, std::string &Buffer,
                              HttpMessage &Message,
                              Clock::time_point Deadline) {
  const auto Fill = [&] {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - Clock::now());
    if (Left.count() <= 0)
      return ReadResult::TimedOut;
    pollfd Poll{Socket, POLLIN, 0};
    const int Ready = poll(&Poll, 1, static_cast<int>(Left.count()) + 1);
    if (Ready == 0)
      return ReadResult::TimedOut;
    char Chunk[65536];
    const ssize_t Count = recv(Socket, Chunk, sizeof(Chunk), 0);
    if (Count <= 0)
      return ReadResult::Closed;
    Buffer.append(Chunk, static_cast<std::size_t>(Count));
    return ReadResult::Whole;
  };
  std::size_t HeadEnd;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (const ReadResult Result = Fill(); Result != ReadResult::Whole)
      return Result;
  Message = {};
  std::size_t LineStart = 0;
  while (LineStart < HeadEnd) {
    const std::size_t LineEnd = Buffer.find("\r\n", LineStart);
    const std::string Line = Buffer.substr(LineStart, LineEnd - LineStart);
    LineStart = LineEnd + 2;
    if (Message.First.empty()) {
      Message.First = Line;
      continue;
    }
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::ranges::transform(Name, Name.begin(), ::tolower);
    std::size_t ValueStart = Line.find_first_not_of(' ', Colon + 1);
    Message.Headers[Name] =
        ValueStart == std::string::npos ? "" : Line.substr(ValueStart);
  }
  const std::string LengthText = Message.header("content-length");
  const std::size_t Length = LengthText.empty() ? 0 : std::stoul(LengthText);
  const std::size_t BodyStart = HeadEnd + 4;
  while (Buffer.size() < BodyStart + Length)
    if (const ReadResult Result = Fill(); Result != ReadResult::Whole)
      return Result;
  Message.Body = Buffer.substr(BodyStart, Length);
  Buffer.erase(0, BodyStart + Length);
  return ReadResult::Whole;
}

inline bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

struct HttpAnswer {
  /// 0 if there was no answer.
  int Status = 0;
  std::string Body;
  HttpMessage Message;
};

/// Sends one request on a new connection.
inline HttpAnswer call(const Endpoint &Where, const std::string &Method,
                       const std::string &Path, const std::string &Host,
                       const std::string &Body,
                       std::chrono::milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Address = socketAddress(Where);
  HttpAnswer Answer;
  const auto Connect = [&] {
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
      return true;
    if (errno != EINPROGRESS)
      return false;
    pollfd Poll{Socket, POLLOUT, 0};
    if (poll(&Poll, 1, static_cast<int>(Timeout.count())) != 1)
      return false;
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    return Error == 0;
  };
  if (Connect()) {
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                       "\r\nX-Deadline-Ms: " + std::to_string(Timeout.count()) +
                       "\r\n";
    if (Method == "POST")
      Text += "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n";
    Text += "\r\n" + Body;
    std::string Buffer;
    // A request of these sizes fits into the send buffer.
    if (sendAll(Socket, Text) &&
        readMessage(Socket, Buffer, Answer.Message, Deadline) ==
            ReadResult::Whole &&
        Answer.Message.First.size() > 12) {
      Answer.Status = std::stoi(Answer.Message.First.substr(9, 3));
      Answer.Body = Answer.Message.Body;
    }
  }
  close(Socket);
  return Answer;
}

/// Answers each request on its own thread per connection.
class HttpServer {
public:
  using Handler = std::function<std::pair<int, std::string>(
      const std::string &Method, const std::string &Path,
      const HttpMessage &Request)>;

  ~HttpServer() { stop(); }

  bool start(const Endpoint &Where, Handler Handle) {
    OnRequest = std::move(Handle);
    Listener = listenOn(Where);
    if (Listener < 0)
      return false;
    Running = true;
    AcceptThread = std::thread([this] { acceptLoop(); });
    return true;
  }

  /// Closes the listener and all connections.
  void stop() {
    if (!Running.exchange(false))
      return;
    shutdown(Listener, SHUT_RDWR);
    AcceptThread.join();
    close(Listener);
    {
      const std::lock_guard Lock(Mutex);
      for (const int Socket : Sockets)
        shutdown(Socket, SHUT_RDWR);
    }
    while (Open > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }

private:
  void acceptLoop() {
    while (Running) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      {
        const std::lock_guard Lock(Mutex);
        Sockets.insert(Socket);
      }
      ++Open;
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  void serve(int Socket) {
    std::string Buffer;
    HttpMessage Request;
    while (Running && readMessage(Socket, Buffer, Request,
                                  Clock::now() + std::chrono::seconds(300)) ==
                          ReadResult::Whole) {
      const std::size_t Space = Request.First.find(' ');
      const std::size_t End = Request.First.find(' ', Space + 1);
      const auto [Status, Body] =
          OnRequest(Request.First.substr(0, Space),
                    Request.First.substr(Space + 1, End - Space - 1), Request);
      // No answer.
      if (Status == 0)
        break;
      if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body))
        break;
    }
    {
      const std::lock_guard Lock(Mutex);
      Sockets.erase(Socket);
    }
    close(Socket);
    --Open;
  }

  Handler OnRequest;
  int Listener = -1;
  std::atomic<bool> Running = false;
  std::atomic<int> Open = 0;
  std::thread AcceptThread;
  std::mutex Mutex;
  std::set<int> Sockets;
};

} // namespace review

#endif // REVIEW_KIT3_HTTP_H
