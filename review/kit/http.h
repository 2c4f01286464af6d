#ifndef SAPPHIREMOOR_REVIEW_KIT_HTTP_H
#define SAPPHIREMOOR_REVIEW_KIT_HTTP_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

/// An address on the loopback network.
struct Address {
  std::string Ip;
  uint16_t Port = 0;
};

std::string text(const Address &Where);

/// Returns true if nothing listens there.
bool isFree(const Address &Where);

/// Milliseconds of the steady clock.
int64_t nowMs();
void sleepMs(int64_t Ms);

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

struct HttpAnswer {
  /// 0 if no complete answer came.
  int Status = 0;
  std::string Body;
};

/// Sends one request on a connection of its own and waits for the answer.
HttpAnswer callHttp(const Address &Server, const HttpRequest &Request,
                    int64_t TimeoutMs);

/// An HTTP/1.1 server with one thread for each connection.
class HttpServer {
public:
  using Handler = std::function<HttpAnswer(const HttpRequest &)>;

  HttpServer(const Address &Where, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  void acceptConnections();
  void serve(int Descriptor);

  Handler OnRequest;
  int Listener = -1;
  std::atomic<bool> Closing = false;
  std::atomic<int> Threads = 0;
};

/// Forwards connections to a server. On demand it resets the connections that
/// are open, or leaves some of them silent.
class Relay {
public:
  /// Returns true if the connection that began with these bytes is forwarded
  /// at the moment.
  using Filter = std::function<bool(const std::string &FirstBytes)>;

  Relay(const Address &Where, const Address &Target, Filter Passes = {});
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Resets all open connections.
  void resetAll() { ++ResetRound; }

private:
  void acceptConnections();
  void forward(int Client);

  Address Target;
  Filter Passes;
  int Listener = -1;
  std::atomic<bool> Closing = false;
  std::atomic<int> Threads = 0;
  std::atomic<int> ResetRound = 0;
};

} // namespace review

#endif // SAPPHIREMOOR_REVIEW_KIT_HTTP_H
