#include "framework/net/httpcall.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>

namespace sapphiremoor {

namespace {

/// Timeout of evhttp, whose timeouts have a resolution of one second here. It
/// is only a fallback for HttpConnection::DeadlineTimer.
constexpr int EvhttpTimeoutSeconds = 3600;

evhttp_cmd_type evhttpCommand(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  default:
    return EVHTTP_REQ_POST;
  }
}

bool hasHeader(evhttp_request *Request, const char *Name,
               std::string_view Value) {
  const char *HeaderValue =
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
  return HeaderValue != nullptr && std::string_view(HeaderValue) == Value;
}

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, const Endpoint &RemoteEndpoint,
                               Duration ConnectTimeout)
    : Loop(Loop), RemoteEndpoint(RemoteEndpoint),
      ConnectTimeout(ConnectTimeout),
      Connection(evhttp_connection_base_new(Loop.base(), nullptr,
                                            RemoteEndpoint.Address.c_str(),
                                            RemoteEndpoint.Port)),
      DeadlineTimer(Loop, [this] { onTimer(); }) {
  evhttp_connection_set_timeout(Connection, EvhttpTimeoutSeconds);
  evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection)),
      onOutput, this);
}

HttpConnection::~HttpConnection() {
  // Freeing the connection calls onResponse() for a request in flight.
  RequestInFlight = false;
  evhttp_connection_free(Connection);
}

void HttpConnection::send(const HttpCallRequest &Request,
                          HttpCallHandler OnResult) {
  Handler = std::move(OnResult);
  RequestInFlight = true;
  AnyByteWritten = false;
  Reusable = false;
  Connecting = !connected();
  RequestTimeout = Request.Timeout;
  OutgoingRequest = evhttp_request_new(onResponse, this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(OutgoingRequest);
  evhttp_add_header(Headers, "Host", RemoteEndpoint.Address.c_str());
  for (const auto &[Name, Value] : Request.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(OutgoingRequest),
               Request.Body.data(), Request.Body.size());
  DeadlineTimer.start(Connecting ? std::min(ConnectTimeout, RequestTimeout)
                                 : RequestTimeout);
  if (evhttp_make_request(Connection, OutgoingRequest,
                          evhttpCommand(Request.Method),
                          Request.Path.c_str()) != 0 &&
      RequestInFlight)
    finish(failureResult());
}

int HttpConnection::socket() const {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

bool HttpConnection::connected() const {
  sockaddr_storage PeerAddress{};
  socklen_t Size = sizeof(PeerAddress);
  return socket() >= 0 &&
         getpeername(socket(), reinterpret_cast<sockaddr *>(&PeerAddress),
                     &Size) == 0;
}

void HttpConnection::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                              void *Self) {
  auto &Owner = *static_cast<HttpConnection *>(Self);
  // evhttp also drains the buffer of a connection that it has closed; those
  // bytes were never written. Whether the socket is still connected says
  // nothing, since the server may read the bytes and reset it at once.
  if (Info->n_deleted > 0 && Owner.socket() >= 0)
    Owner.AnyByteWritten = true;
}

void HttpConnection::onTimer() {
  if (!RequestInFlight)
    return;
  if (Connecting && connected()) {
    Connecting = false;
    DeadlineTimer.start(RequestTimeout);
    return;
  }
  abandonRequest();
}

void HttpConnection::abandonRequest() {
  const HttpCallResult Result = failureResult();
  // The socket may be writable already, in an event that the loop handles
  // before it destroys the connection.
  RequestInFlight = false;
  evhttp_cancel_request(OutgoingRequest);
  finish(Result);
}

HttpCallResult HttpConnection::failureResult() const {
  HttpCallResult Result;
  Result.Status =
      AnyByteWritten ? HttpCallStatus::Unknown : HttpCallStatus::NotWritten;
  return Result;
}

void HttpConnection::onResponse(evhttp_request *Request, void *Self) {
  auto &Owner = *static_cast<HttpConnection *>(Self);
  if (!Owner.RequestInFlight)
    return;
  if (Request == nullptr || evhttp_request_get_response_code(Request) == 0) {
    Owner.finish(Owner.failureResult());
    return;
  }
  HttpCallResult Result;
  Result.Status = HttpCallStatus::Answered;
  Result.StatusCode = evhttp_request_get_response_code(Request);
  Result.NotStarted = hasHeader(Request, "X-Not-Started", "1");
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  Result.Body.resize(evbuffer_get_length(Input));
  evbuffer_copyout(Input, Result.Body.data(), Result.Body.size());
  Owner.LastResponseTime = Owner.Loop.now();
  Owner.Reusable = !hasHeader(Request, "Connection", "close");
  Owner.finish(std::move(Result));
}

void HttpConnection::finish(HttpCallResult Result) {
  RequestInFlight = false;
  DeadlineTimer.cancel();
  const HttpCallHandler ResultHandler = std::move(Handler);
  Handler = nullptr;
  ResultHandler(std::move(Result));
}

} // namespace sapphiremoor
