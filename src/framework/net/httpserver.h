#ifndef SAPPHIREMOOR_FRAMEWORK_NET_HTTPSERVER_H
#define SAPPHIREMOOR_FRAMEWORK_NET_HTTPSERVER_H

#include "framework/core/result.h"
#include "framework/core/types/endpoint.h"
#include "framework/net/eventloop.h"
#include "framework/net/timer.h"
#include "framework/net/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace sapphiremoor {

/// Limits on what a client may send.
struct HttpLimits {
  std::size_t HeaderBytes = std::size_t{16} << 10;
  std::size_t BodyBytes = std::size_t{8} << 20;
  /// Time limit from the first byte of a request to its last. Clients that send
  /// their headers slowly are disconnected.
  Duration RequestTimeout = std::chrono::seconds(5);
  /// Time after which a connection without a request is closed.
  Duration IdleTimeout = std::chrono::seconds(120);
  /// Request headers that are passed to the handler in addition to Host and
  /// Authorization.
  std::vector<std::string> KeptHeaders = {};
};

/// Sends the response to one request, immediately or later. The response is
/// dropped if the client has disconnected. Copies refer to the same request.
class Responder {
public:
  struct State;
  explicit Responder(std::shared_ptr<State> RequestState);
  void respond(const HttpResponse &Response) const;
  /// Returns true until the response is sent or the client has disconnected.
  bool open() const;
  /// Calls \p Handler once if the client disconnects before the response is
  /// sent. Replaces an earlier handler.
  void onDisconnect(std::function<void()> Handler) const;

private:
  std::shared_ptr<State> RequestState;
};

/// An HTTP/1.1 server based on evhttp of libevent.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(EventLoop &Loop, const HttpLimits &Limits, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds to \p LocalEndpoint. Port 0 selects a free port. Returns the bound
  /// port.
  Result<uint16_t> listen(const Endpoint &LocalEndpoint);

  /// Stops accepting connections; open requests can still be answered.
  void stopListening();

  /// Makes each later response close its connection, so that clients reconnect
  /// to another VM.
  void closeAfterResponses();

  /// Closes the connections on which no request is being received or answered.
  void closeIdleConnections();

  /// Returns the number of requests that have no response yet.
  std::size_t openRequests() const;

  struct ServerState;

private:
  struct ConnectionMonitor;
  static bufferevent *createConnection(event_base *Base, void *Self);
  static void handleRequest(evhttp_request *Request, void *Self);
  void dispatch(evhttp_request *Request);
  /// Keeps reading from a connection while its request is open, so that a
  /// disconnect is noticed.
  static void watchForDisconnect(bufferevent *Connection);
  void markRequestComplete(evhttp_request *Request);
  void sweepConnections();

  EventLoop &Loop;
  HttpLimits Limits;
  Handler OnRequest;
  evhttp *Http;
  evhttp_bound_socket *BoundSocket = nullptr;
  std::shared_ptr<ServerState> SharedState;
  std::unordered_map<bufferevent *, std::unique_ptr<ConnectionMonitor>>
      Monitors;
  Timer SweepTimer;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_HTTPSERVER_H
