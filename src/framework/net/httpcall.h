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

/// A request to send.
struct HttpCallRequest {
  HttpMethod Method = HttpMethod::Post;
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Time from the send to the last byte of the answer.
  Duration Timeout = std::chrono::seconds(30);
};

/// What is known after a request was sent.
enum class HttpCallStatus {
  /// An answer arrived.
  Answered,
  /// No byte was written: the request was certainly not started.
  NotWritten,
  /// Bytes were written and no whole answer arrived.
  Unknown,
};

struct HttpCallResult {
  HttpCallStatus Status = HttpCallStatus::Unknown;
  int StatusCode = 0;
  /// The server said with X-Not-Started that it did not start the request.
  bool NotStarted = false;
  std::string Body;
};

using HttpCallHandler = std::function<void(HttpCallResult)>;

/// One client connection that carries one request at a time.
class HttpConnection {
public:
  HttpConnection(EventLoop &Loop, const Endpoint &RemoteEndpoint,
                 Duration ConnectTimeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends \p Request; the connection must not have one in flight. \p Handler
  /// is called from a later event and must not destroy the connection itself.
  void send(const HttpCallRequest &Request, HttpCallHandler Handler);

  const Endpoint &remote() const { return RemoteEndpoint; }
  /// Time of the last answer.
  Instant lastResponseTime() const { return LastResponseTime; }
  /// Returns true if the last answer allows another request.
  bool reusable() const { return Reusable; }

private:
  static void onResponse(evhttp_request *Request, void *Self);
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Self);
  bool connected() const;
  void onTimer();
  void finish(HttpCallResult Result);
  HttpCallResult failureResult() const;

  EventLoop &Loop;
  Endpoint RemoteEndpoint;
  Duration ConnectTimeout;
  evhttp_connection *Connection;
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
