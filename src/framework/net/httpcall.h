#ifndef SAPPHIREMOOR_FRAMEWORK_NET_HTTPCALL_H
#define SAPPHIREMOOR_FRAMEWORK_NET_HTTPCALL_H

#include "framework/core/types/endpoint.h"
#include "framework/net/eventloop.h"
#include "framework/net/timer.h"
#include "framework/net/types/httpmessage.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;
struct evbuffer;
struct evbuffer_cb_info;

namespace sapphiremoor {

/// A request that an HttpConnection sends.
struct HttpCallRequest {
  HttpMethod Method = HttpMethod::Post;
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Time limit from the send to the last byte of the response. On a new
  /// connection it is extended by up to the connect timeout.
  Duration Timeout = std::chrono::seconds(30);
};

/// What the client knows about a request after send().
enum class HttpCallStatus {
  /// A response arrived.
  Answered,
  /// No byte was written, so the server cannot have started the request.
  NotWritten,
  /// Bytes were written and no complete response arrived, so the server may
  /// have started the request.
  Unknown,
};

struct HttpCallResult {
  HttpCallStatus Status = HttpCallStatus::Unknown;
  int StatusCode = 0;
  /// True if the response carries the header X-Not-Started: 1, by which the
  /// server states that it did not start the request.
  bool NotStarted = false;
  std::string Body;
};

using HttpCallHandler = std::function<void(HttpCallResult)>;

/// A client connection to one server. It carries one request at a time.
class HttpConnection {
public:
  HttpConnection(EventLoop &Loop, const Endpoint &RemoteEndpoint,
                 Duration ConnectTimeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends \p Request. The connection must not have a request in flight.
  /// \p Handler is called once, from a later event or, if evhttp refuses the
  /// request, before send() returns. It must not destroy the connection itself.
  void send(const HttpCallRequest &Request, HttpCallHandler Handler);

  const Endpoint &remote() const { return RemoteEndpoint; }
  /// Time at which the last response arrived.
  Instant lastResponseTime() const { return LastResponseTime; }
  /// Returns true if the server keeps the connection open for another request.
  bool reusable() const { return Reusable; }

private:
  static void onResponse(evhttp_request *Request, void *Self);
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Self);
  /// Returns the socket, or -1 if it is closed.
  int socket() const;
  bool connected() const;
  void onTimer();
  /// Reports the request as failed and makes sure that no further byte of it is
  /// written.
  void abandonRequest();
  void finish(HttpCallResult Result);
  HttpCallResult failureResult() const;

  EventLoop &Loop;
  Endpoint RemoteEndpoint;
  Duration ConnectTimeout;
  evhttp_connection *Connection;
  /// The request in flight; evhttp frees it when it ends.
  evhttp_request *OutgoingRequest = nullptr;
  Timer DeadlineTimer;
  Duration RequestTimeout{0};
  bool RequestInFlight = false;
  bool Connecting = false;
  bool AnyByteWritten = false;
  bool Reusable = false;
  Instant LastResponseTime;
  HttpCallHandler Handler;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_HTTPCALL_H
