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

/// The timeouts of evhttp have a resolution of one second here and only back up
/// the timer of the connection.
constexpr int EvhttpTimeoutSeconds = 3600;

evhttp_cmd_type commandOf(HttpMethod Method) {
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
  const char *Found =
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
  return Found != nullptr && std::string_view(Found) == Value;
}

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, const Endpoint &To,
                               Duration ConnectTimeout)
    : Loop(Loop), To(To), ConnectTimeout(ConnectTimeout),
      Connection(evhttp_connection_base_new(Loop.base(), nullptr,
                                            To.Address.c_str(), To.Port)),
      Deadline(Loop, [this] { onTimer(); }) {
  evhttp_connection_set_timeout(Connection, EvhttpTimeoutSeconds);
  evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection)),
      onOutput, this);
}

HttpConnection::~HttpConnection() {
  // Freeing the connection calls back for a request in flight.
  Waiting = false;
  evhttp_connection_free(Connection);
}

void HttpConnection::send(const HttpCallRequest &Request,
                          HttpCallHandler OnResult) {
  Handler = std::move(OnResult);
  Waiting = true;
  Written = false;
  Reusable = false;
  Connecting = !connected();
  Remaining = Request.Timeout;
  evhttp_request *Sent = evhttp_request_new(onAnswer, this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Sent);
  evhttp_add_header(Headers, "Host", To.Address.c_str());
  for (const auto &[Name, Value] : Request.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Sent), Request.Body.data(),
               Request.Body.size());
  Deadline.start(Connecting ? std::min(ConnectTimeout, Remaining) : Remaining);
  if (evhttp_make_request(Connection, Sent, commandOf(Request.Method),
                          Request.Path.c_str()) != 0 &&
      Waiting)
    finish(failure());
}

bool HttpConnection::connected() const {
  sockaddr_storage Peer{};
  socklen_t Size = sizeof(Peer);
  const int Fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  return Fd >= 0 &&
         getpeername(Fd, reinterpret_cast<sockaddr *>(&Peer), &Size) == 0;
}

void HttpConnection::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                              void *Self) {
  auto &Owner = *static_cast<HttpConnection *>(Self);
  // evhttp also drains the buffer when it resets a connection that was never
  // established; those bytes were not written.
  if (Info->n_deleted > 0 && !Owner.Written && Owner.connected())
    Owner.Written = true;
}

void HttpConnection::onTimer() {
  if (!Waiting)
    return;
  if (Connecting && connected()) {
    Connecting = false;
    Deadline.start(Remaining);
    return;
  }
  finish(failure());
}

HttpCallResult HttpConnection::failure() const {
  HttpCallResult Result;
  Result.Status =
      Written ? HttpCallStatus::Unknown : HttpCallStatus::NotWritten;
  return Result;
}

void HttpConnection::onAnswer(evhttp_request *Request, void *Self) {
  auto &Owner = *static_cast<HttpConnection *>(Self);
  if (!Owner.Waiting)
    return;
  if (Request == nullptr || evhttp_request_get_response_code(Request) == 0) {
    Owner.finish(Owner.failure());
    return;
  }
  HttpCallResult Result;
  Result.Status = HttpCallStatus::Answered;
  Result.Code = evhttp_request_get_response_code(Request);
  Result.NotStarted = hasHeader(Request, "X-Not-Started", "1");
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  Result.Body.resize(evbuffer_get_length(Input));
  evbuffer_copyout(Input, Result.Body.data(), Result.Body.size());
  Owner.LastAnswer = Owner.Loop.now();
  Owner.Reusable = !hasHeader(Request, "Connection", "close");
  Owner.finish(std::move(Result));
}

void HttpConnection::finish(HttpCallResult Result) {
  Waiting = false;
  Deadline.cancel();
  const HttpCallHandler Finished = std::move(Handler);
  Handler = nullptr;
  Finished(std::move(Result));
}

} // namespace sapphiremoor
