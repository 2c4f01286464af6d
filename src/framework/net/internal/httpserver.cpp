#include "framework/net/httpserver.h"

#include "framework/net/internal/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string_view>
#include <unordered_set>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr Duration SweepPeriod = std::chrono::milliseconds(500);
constexpr Duration ClosingSweepPeriod = std::chrono::milliseconds(20);

/// Limit on the bytes of further requests that are read from a connection while
/// a request is open on it.
constexpr std::size_t MaxEarlyBytes = std::size_t{64} << 10;

HttpMethod requestMethod(evhttp_request *Request) {
  switch (evhttp_request_get_command(Request)) {
  case EVHTTP_REQ_GET:
    return HttpMethod::Get;
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  case EVHTTP_REQ_PUT:
    return HttpMethod::Put;
  case EVHTTP_REQ_DELETE:
    return HttpMethod::Delete;
  default:
    return HttpMethod::Other;
  }
}

std::string requestBody(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Body.data(), Body.size());
  return Body;
}

std::string bearerToken(evhttp_request *Request) {
  constexpr std::string_view Scheme = "Bearer ";
  const char *Header = evhttp_find_header(
      evhttp_request_get_input_headers(Request), "Authorization");
  if (Header == nullptr || !std::string_view(Header).starts_with(Scheme))
    return {};
  return Header + Scheme.size();
}

HttpResponse tooLargeResponse(std::size_t Limit) {
  return {413,
          "{\"error\":{\"kind\":\"too_large\",\"message\":\"the body exceeds " +
              std::to_string(Limit) +
              " bytes\",\"remedy\":\"split the work into smaller "
              "requests\"}}\n",
          "application/json"};
}

std::string requestHeader(evhttp_request *Request, const char *Name) {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
  return Value != nullptr ? Value : "";
}

std::string requestHost(evhttp_request *Request) {
  const std::string Host = requestHeader(Request, "Host");
  return Host.substr(0, Host.rfind(':'));
}

HttpRequest readRequest(evhttp_request *Request,
                        const std::vector<std::string> &KeptHeaders) {
  HttpRequest Parsed;
  Parsed.Method = requestMethod(Request);
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri != nullptr ? evhttp_uri_get_path(Uri) : nullptr;
  Parsed.Path = Path != nullptr ? Path : "/";
  const char *Query = Uri != nullptr ? evhttp_uri_get_query(Uri) : nullptr;
  if (Query != nullptr) {
    evkeyvalq QueryValues;
    if (evhttp_parse_query_str(Query, &QueryValues) == 0)
      for (evkeyval *Item = QueryValues.tqh_first; Item != nullptr;
           Item = Item->next.tqe_next)
        Parsed.Query.emplace(Item->key, Item->value);
    evhttp_clear_headers(&QueryValues);
  }
  Parsed.Token = bearerToken(Request);
  Parsed.Host = requestHost(Request);
  for (const std::string &Name : KeptHeaders)
    if (std::string Value = requestHeader(Request, Name.c_str());
        !Value.empty())
      Parsed.Headers.emplace(Name, std::move(Value));
  Parsed.Body = requestBody(Request);
  return Parsed;
}

} // namespace

/// State shared by the server and the responders of its requests.
struct HttpServer::ServerState {
  std::size_t OpenRequests = 0;
  bool Destroying = false;
  bool ClosingConnections = false;
  /// Time after which evhttp closes a connection without a request.
  int IdleTimeoutSeconds = 0;
  /// Connections with a request that has no response yet.
  std::unordered_set<bufferevent *> BusyConnections;
};

/// State of one request from its arrival to its response.
struct Responder::State {
  evhttp_request *Request = nullptr;
  bufferevent *Connection = nullptr;
  std::shared_ptr<HttpServer::ServerState> Server;
  std::function<void()> OnDisconnect;

  ~State() {
    if (Request != nullptr)
      send({500,
            "{\"error\":{\"kind\":\"internal\",\"message\":\"the handler sent "
            "no response\",\"remedy\":\"report this as a bug\"}}\n"});
  }

  evhttp_request *finish() {
    --Server->OpenRequests;
    Server->BusyConnections.erase(Connection);
    return std::exchange(Request, nullptr);
  }

  void send(const HttpResponse &Response) {
    evhttp_request *FinishedRequest = finish();
    OnDisconnect = nullptr;
    evhttp_connection *HttpConnection =
        evhttp_request_get_connection(FinishedRequest);
    evhttp_connection_set_closecb(HttpConnection, nullptr, nullptr);
    evhttp_connection_set_timeout(HttpConnection, Server->IdleTimeoutSeconds);
    bufferevent_setwatermark(Connection, EV_READ, 0, 0);
    evhttp_add_header(evhttp_request_get_output_headers(FinishedRequest),
                      "Content-Type", Response.ContentType.c_str());
    for (const auto &[Name, Value] : Response.Headers)
      evhttp_add_header(evhttp_request_get_output_headers(FinishedRequest),
                        Name.c_str(), Value.c_str());
    if (Server->ClosingConnections)
      evhttp_add_header(evhttp_request_get_output_headers(FinishedRequest),
                        "Connection", "close");
    evbuffer *Output = evhttp_request_get_output_buffer(FinishedRequest);
    evbuffer_add(Output, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(FinishedRequest, Response.Status, nullptr, nullptr);
    // A request that arrives after the last response must not be read, because
    // it would get no response. evhttp has enabled reading to detect the end of
    // file.
    if (Server->ClosingConnections)
      bufferevent_disable(Connection, EV_READ);
  }

  static void onClose(evhttp_connection *, void *Self) {
    auto &ClosedRequest = *static_cast<State *>(Self);
    evhttp_request *UnansweredRequest = ClosedRequest.finish();
    if (ClosedRequest.Server->Destroying)
      return;
    // evhttp detaches an unanswered request from a closed connection and leaves
    // it to its user. Replying to it frees it.
    evhttp_send_reply(UnansweredRequest, 200, nullptr, nullptr);
    // The handler may release the last responder and with it this state.
    if (const auto Handler = std::exchange(ClosedRequest.OnDisconnect, {}))
      Handler();
  }
};

Responder::Responder(std::shared_ptr<State> RequestState)
    : RequestState(std::move(RequestState)) {}

bool Responder::open() const { return RequestState->Request != nullptr; }

void Responder::respond(const HttpResponse &Response) const {
  if (RequestState->Request != nullptr)
    RequestState->send(Response);
}

void Responder::onDisconnect(std::function<void()> Handler) const {
  if (RequestState->Request != nullptr)
    RequestState->OnDisconnect = std::move(Handler);
}

/// Detects a request that takes too long to arrive on one connection.
struct HttpServer::ConnectionMonitor {
  EventLoop *Loop = nullptr;
  bufferevent *Connection = nullptr;
  bool Receiving = false;
  Instant ReceiveStart;

  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Self) {
    auto &Monitor = *static_cast<ConnectionMonitor *>(Self);
    if (Info->n_added == 0 || Monitor.Receiving)
      return;
    Monitor.Receiving = true;
    Monitor.ReceiveStart = Monitor.Loop->now();
  }

  /// Returns true if evhttp has freed the connection, which clears its
  /// callbacks.
  bool connectionFreed() const {
    bufferevent_event_cb OnEvent = nullptr;
    bufferevent_getcb(Connection, nullptr, nullptr, &OnEvent, nullptr);
    return OnEvent == nullptr;
  }

  /// Responds with 408 and shuts the connection down. evhttp detects the end of
  /// file and frees the connection.
  void refuseSlowRequest() const {
    constexpr std::string_view ResponseText =
        "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
        "Connection: close\r\n\r\n{\"error\":{\"kind\":\"timeout\",\"message\":"
        "\"the request took too long to arrive\",\"remedy\":\"send the whole "
        "request within the limit header_timeout_ms\"}}\n";
    const int Fd = bufferevent_getfd(Connection);
    // The response is best effort: the client may have disconnected already.
    [[maybe_unused]] const ssize_t SentBytes =
        send(Fd, ResponseText.data(), ResponseText.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(Fd, SHUT_RDWR);
  }
};

HttpServer::HttpServer(EventLoop &Loop, const HttpLimits &Limits,
                       Handler OnRequest)
    : Loop(Loop), Limits(Limits), OnRequest(std::move(OnRequest)),
      Http(evhttp_new(Loop.base())),
      SharedState(std::make_shared<ServerState>()),
      SweepTimer(Loop, [this] { sweepConnections(); }) {
  evhttp_set_max_headers_size(Http,
                              static_cast<ev_ssize_t>(Limits.HeaderBytes));
  // evhttp closes the connection when its own limit is exceeded, and the client
  // may lose the response. A body of up to twice the limit is read completely,
  // so that it can be refused with a typed error.
  evhttp_set_max_body_size(Http, static_cast<ev_ssize_t>(2 * Limits.BodyBytes));
  SharedState->IdleTimeoutSeconds = static_cast<int>(
      std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout).count());
  evhttp_set_timeout(Http, SharedState->IdleTimeoutSeconds);
  evhttp_set_allowed_methods(Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                       EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_bevcb(Http, createConnection, this);
  evhttp_set_gencb(Http, handleRequest, this);
  SweepTimer.startPeriodic(SweepPeriod);
}

HttpServer::~HttpServer() {
  SharedState->Destroying = true;
  evhttp_free(Http);
  for (const auto &[Connection, Monitor] : Monitors)
    bufferevent_decref(Connection);
}

Result<uint16_t> HttpServer::listen(const Endpoint &LocalEndpoint) {
  BoundSocket = evhttp_bind_socket_with_handle(
      Http, LocalEndpoint.Address.c_str(), LocalEndpoint.Port);
  if (BoundSocket == nullptr)
    return Error{ErrorKind::Unreachable,
                 "cannot listen on " + describe(LocalEndpoint),
                 "choose a free port on an address of this VM"};
  detail::stopAcceptingOnError(evhttp_bound_socket_get_listener(BoundSocket));
  sockaddr_in BoundAddress{};
  socklen_t Size = sizeof(BoundAddress);
  getsockname(evhttp_bound_socket_get_fd(BoundSocket),
              reinterpret_cast<sockaddr *>(&BoundAddress), &Size);
  return ntohs(BoundAddress.sin_port);
}

std::size_t HttpServer::openRequests() const {
  return SharedState->OpenRequests;
}

void HttpServer::closeAfterResponses() {
  SharedState->ClosingConnections = true;
  // The monitors keep the sockets of closed connections open until the next
  // sweep.
  SweepTimer.startPeriodic(ClosingSweepPeriod);
}

void HttpServer::closeIdleConnections() {
  for (const auto &[Connection, Monitor] : Monitors) {
    if (Monitor->connectionFreed() || Monitor->Receiving ||
        SharedState->BusyConnections.contains(Connection) ||
        evbuffer_get_length(bufferevent_get_output(Connection)) > 0)
      continue;
    // evhttp detects the end of file and frees the connection.
    shutdown(bufferevent_getfd(Connection), SHUT_RDWR);
  }
}

void HttpServer::stopListening() {
  if (BoundSocket != nullptr)
    evhttp_del_accept_socket(Http, BoundSocket);
  BoundSocket = nullptr;
}

bufferevent *HttpServer::createConnection(event_base *Base, void *Self) {
  auto &Server = *static_cast<HttpServer *>(Self);
  auto Monitor = std::make_unique<ConnectionMonitor>();
  Monitor->Loop = &Server.Loop;
  Monitor->Connection = bufferevent_socket_new(Base, -1, 0);
  // The monitor keeps a reference to the connection until the first sweep after
  // evhttp has freed it.
  bufferevent_incref(Monitor->Connection);
  evbuffer_add_cb(bufferevent_get_input(Monitor->Connection),
                  ConnectionMonitor::onInput, Monitor.get());
  bufferevent *Connection = Monitor->Connection;
  Server.Monitors.emplace(Connection, std::move(Monitor));
  return Connection;
}

void HttpServer::handleRequest(evhttp_request *Request, void *Self) {
  static_cast<HttpServer *>(Self)->dispatch(Request);
}

void HttpServer::markRequestComplete(evhttp_request *Request) {
  bufferevent *Connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request));
  const auto MonitorIt = Monitors.find(Connection);
  if (MonitorIt != Monitors.end())
    MonitorIt->second->Receiving = false;
}

void HttpServer::watchForDisconnect(bufferevent *Connection) {
  // evhttp stops reading while a request is open. Its read callback expects no
  // bytes in this state, so it is left out until evhttp sets it again after the
  // response; bytes of further requests stay in the buffer until then.
  bufferevent_event_cb OnEvent = nullptr;
  void *Argument = nullptr;
  bufferevent_getcb(Connection, nullptr, nullptr, &OnEvent, &Argument);
  bufferevent_setcb(Connection, nullptr, nullptr, OnEvent, Argument);
  bufferevent_setwatermark(Connection, EV_READ, 0, MaxEarlyBytes);
  // The response may take longer than a connection may be idle.
  bufferevent_set_timeouts(Connection, nullptr, nullptr);
  bufferevent_enable(Connection, EV_READ);
}

void HttpServer::dispatch(evhttp_request *Request) {
  markRequestComplete(Request);
  bufferevent *Connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request));
  const int Enable = 1;
  setsockopt(bufferevent_getfd(Connection), IPPROTO_TCP, TCP_NODELAY, &Enable,
             sizeof(Enable));
  auto RequestState = std::make_shared<Responder::State>();
  RequestState->Request = Request;
  RequestState->Connection = Connection;
  RequestState->Server = SharedState;
  ++SharedState->OpenRequests;
  SharedState->BusyConnections.insert(Connection);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                Responder::State::onClose, RequestState.get());
  const Responder RequestResponder(std::move(RequestState));
  if (evbuffer_get_length(evhttp_request_get_input_buffer(Request)) >
      Limits.BodyBytes)
    RequestResponder.respond(tooLargeResponse(Limits.BodyBytes));
  else
    OnRequest(readRequest(Request, Limits.KeptHeaders), RequestResponder);
  if (RequestResponder.open())
    watchForDisconnect(Connection);
}

void HttpServer::sweepConnections() {
  if (BoundSocket != nullptr)
    detail::resumeAccepting(evhttp_bound_socket_get_listener(BoundSocket));
  const Instant Now = Loop.now();
  std::erase_if(Monitors, [&](const auto &Entry) {
    const std::unique_ptr<ConnectionMonitor> &Monitor = Entry.second;
    if (Monitor->connectionFreed()) {
      evbuffer_remove_cb(bufferevent_get_input(Monitor->Connection),
                         ConnectionMonitor::onInput, Monitor.get());
      bufferevent_decref(Monitor->Connection);
      return true;
    }
    // A request that waits for the response to the one before it is not slow.
    if (SharedState->BusyConnections.contains(Entry.first))
      Monitor->ReceiveStart = Now;
    else if (Monitor->Receiving &&
             Now - Monitor->ReceiveStart > Limits.RequestTimeout)
      Monitor->refuseSlowRequest();
    return false;
  });
}

} // namespace sapphiremoor
