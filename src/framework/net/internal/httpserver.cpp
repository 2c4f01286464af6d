#include "framework/net/httpserver.h"

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

HttpMethod methodOf(evhttp_request *Request) {
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

std::string bodyOf(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Body.data(), Body.size());
  return Body;
}

std::string tokenOf(evhttp_request *Request) {
  constexpr std::string_view Scheme = "Bearer ";
  const char *Header = evhttp_find_header(
      evhttp_request_get_input_headers(Request), "Authorization");
  if (Header == nullptr || !std::string_view(Header).starts_with(Scheme))
    return {};
  return Header + Scheme.size();
}

HttpResponse tooLarge(std::size_t Limit) {
  return {413,
          "{\"error\":{\"kind\":\"too_large\",\"message\":\"the body exceeds " +
              std::to_string(Limit) +
              " bytes\",\"remedy\":\"split the work into smaller "
              "requests\"}}\n",
          "application/json"};
}

std::string headerOf(evhttp_request *Request, const char *Name) {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Request), Name);
  return Value != nullptr ? Value : "";
}

std::string hostOf(evhttp_request *Request) {
  const std::string Host = headerOf(Request, "Host");
  return Host.substr(0, Host.rfind(':'));
}

HttpRequest readRequest(evhttp_request *Request,
                        const std::vector<std::string> &KeptHeaders) {
  HttpRequest Read;
  Read.Method = methodOf(Request);
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri != nullptr ? evhttp_uri_get_path(Uri) : nullptr;
  Read.Path = Path != nullptr ? Path : "/";
  const char *Query = Uri != nullptr ? evhttp_uri_get_query(Uri) : nullptr;
  if (Query != nullptr) {
    evkeyvalq Values;
    if (evhttp_parse_query_str(Query, &Values) == 0)
      for (evkeyval *Item = Values.tqh_first; Item != nullptr;
           Item = Item->next.tqe_next)
        Read.Query.emplace(Item->key, Item->value);
    evhttp_clear_headers(&Values);
  }
  Read.Token = tokenOf(Request);
  Read.Host = hostOf(Request);
  for (const std::string &Name : KeptHeaders)
    if (std::string Value = headerOf(Request, Name.c_str()); !Value.empty())
      Read.Headers.emplace(Name, std::move(Value));
  Read.Body = bodyOf(Request);
  return Read;
}

} // namespace

/// What the server and the responders of its requests share.
struct HttpServer::Shared {
  std::size_t OpenRequests = 0;
  bool Destroying = false;
  bool ClosingConnections = false;
  /// Connections with a request that awaits its response.
  std::unordered_set<bufferevent *> Busy;
};

/// The life of one request between its arrival and its response.
struct Responder::State {
  evhttp_request *Request = nullptr;
  bufferevent *Connection = nullptr;
  std::shared_ptr<HttpServer::Shared> Server;

  ~State() {
    if (Request != nullptr)
      send({500,
            "{\"error\":{\"kind\":\"internal\",\"message\":\"no answer was "
            "produced\",\"remedy\":\"report this as a bug\"}}\n"});
  }

  evhttp_request *finish() {
    --Server->OpenRequests;
    Server->Busy.erase(Connection);
    return std::exchange(Request, nullptr);
  }

  void send(const HttpResponse &Response) {
    evhttp_request *Answered = finish();
    evhttp_connection_set_closecb(evhttp_request_get_connection(Answered),
                                  nullptr, nullptr);
    evhttp_add_header(evhttp_request_get_output_headers(Answered),
                      "Content-Type", Response.ContentType.c_str());
    for (const auto &[Name, Value] : Response.Headers)
      evhttp_add_header(evhttp_request_get_output_headers(Answered),
                        Name.c_str(), Value.c_str());
    if (Server->ClosingConnections)
      evhttp_add_header(evhttp_request_get_output_headers(Answered),
                        "Connection", "close");
    evbuffer *Output = evhttp_request_get_output_buffer(Answered);
    evbuffer_add(Output, Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Answered, Response.Status, nullptr, nullptr);
    // A request that comes after the last response must not be read: nobody
    // would answer it. evhttp has enabled reading to notice the end of file.
    if (Server->ClosingConnections)
      bufferevent_disable(Connection, EV_READ);
  }

  static void onClose(evhttp_connection *, void *Self) {
    auto &Closed = *static_cast<State *>(Self);
    evhttp_request *Orphan = Closed.finish();
    if (Closed.Server->Destroying)
      return;
    // evhttp detaches an unanswered request from a closed connection and
    // leaves it to the user; answering it frees it.
    evhttp_send_reply(Orphan, 200, nullptr, nullptr);
  }
};

Responder::Responder(std::shared_ptr<State> Shared)
    : Shared(std::move(Shared)) {}

bool Responder::open() const { return Shared->Request != nullptr; }

void Responder::respond(const HttpResponse &Response) const {
  if (Shared->Request != nullptr)
    Shared->send(Response);
}

/// Watches one connection for a request that takes too long to arrive.
struct HttpServer::Guard {
  EventLoop *Loop = nullptr;
  bufferevent *Connection = nullptr;
  bool Receiving = false;
  Instant Since;

  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Self) {
    auto &Watched = *static_cast<Guard *>(Self);
    if (Info->n_added == 0 || Watched.Receiving)
      return;
    Watched.Receiving = true;
    Watched.Since = Watched.Loop->now();
  }

  /// evhttp clears the callbacks of a connection that it has freed.
  bool freed() const {
    bufferevent_event_cb OnEvent = nullptr;
    bufferevent_getcb(Connection, nullptr, nullptr, &OnEvent, nullptr);
    return OnEvent == nullptr;
  }

  /// Answers 408 and closes. evhttp notices the end of file and cleans up.
  void refuseSlowRequest() const {
    constexpr std::string_view Answer =
        "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
        "Connection: close\r\n\r\n{\"error\":{\"kind\":\"timeout\",\"message\":"
        "\"the request took too long to arrive\",\"remedy\":\"send the whole "
        "request within the limit header_timeout_ms\"}}\n";
    const int Fd = bufferevent_getfd(Connection);
    // The answer is best effort: the client may have gone away already.
    [[maybe_unused]] const ssize_t Sent =
        send(Fd, Answer.data(), Answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(Fd, SHUT_RDWR);
  }
};

HttpServer::HttpServer(EventLoop &Loop, const HttpLimits &Limits,
                       Handler OnRequest)
    : Loop(Loop), Limits(Limits), OnRequest(std::move(OnRequest)),
      Http(evhttp_new(Loop.base())), Common(std::make_shared<Shared>()),
      Sweep(Loop, [this] { sweepConnections(); }) {
  evhttp_set_max_headers_size(Http,
                              static_cast<ev_ssize_t>(Limits.HeaderBytes));
  // evhttp closes the connection when its limit is passed, and the client may
  // lose the answer. A body up to twice the limit is read whole, so that it can
  // be refused with a typed error.
  evhttp_set_max_body_size(Http, static_cast<ev_ssize_t>(2 * Limits.BodyBytes));
  evhttp_set_timeout(
      Http,
      static_cast<int>(
          std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout).count()));
  evhttp_set_allowed_methods(Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                       EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_bevcb(Http, createConnection, this);
  evhttp_set_gencb(Http, handle, this);
  Sweep.startPeriodic(SweepPeriod);
}

HttpServer::~HttpServer() {
  Common->Destroying = true;
  evhttp_free(Http);
  for (const auto &[Connection, Watched] : Guards)
    bufferevent_decref(Connection);
}

Result<uint16_t> HttpServer::listen(const Endpoint &At) {
  Bound = evhttp_bind_socket_with_handle(Http, At.Address.c_str(), At.Port);
  if (Bound == nullptr)
    return Error{ErrorKind::Unreachable, "cannot listen on " + describe(At),
                 "choose a free port on an address of this VM"};
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  getsockname(evhttp_bound_socket_get_fd(Bound),
              reinterpret_cast<sockaddr *>(&Name), &Size);
  return ntohs(Name.sin_port);
}

std::size_t HttpServer::openRequests() const { return Common->OpenRequests; }

void HttpServer::closeAfterResponses() {
  Common->ClosingConnections = true;
  // The guards keep closed connections open until the next sweep.
  Sweep.startPeriodic(ClosingSweepPeriod);
}

void HttpServer::closeIdleConnections() {
  for (const auto &[Connection, Watched] : Guards) {
    if (Watched->freed() || Watched->Receiving ||
        Common->Busy.contains(Connection) ||
        evbuffer_get_length(bufferevent_get_output(Connection)) > 0)
      continue;
    // evhttp notices the end of file and cleans up.
    shutdown(bufferevent_getfd(Connection), SHUT_RDWR);
  }
}

void HttpServer::stopListening() {
  if (Bound != nullptr)
    evhttp_del_accept_socket(Http, Bound);
  Bound = nullptr;
}

bufferevent *HttpServer::createConnection(event_base *Base, void *Self) {
  auto &Server = *static_cast<HttpServer *>(Self);
  auto Watched = std::make_unique<Guard>();
  Watched->Loop = &Server.Loop;
  Watched->Connection = bufferevent_socket_new(Base, -1, 0);
  // The guard outlives evhttp's use of the connection by one sweep.
  bufferevent_incref(Watched->Connection);
  evbuffer_add_cb(bufferevent_get_input(Watched->Connection), Guard::onInput,
                  Watched.get());
  bufferevent *Connection = Watched->Connection;
  Server.Guards.emplace(Connection, std::move(Watched));
  return Connection;
}

void HttpServer::handle(evhttp_request *Request, void *Self) {
  static_cast<HttpServer *>(Self)->dispatch(Request);
}

void HttpServer::markComplete(evhttp_request *Request) {
  bufferevent *Connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request));
  const auto Watched = Guards.find(Connection);
  if (Watched != Guards.end())
    Watched->second->Receiving = false;
}

void HttpServer::dispatch(evhttp_request *Request) {
  markComplete(Request);
  const int One = 1;
  setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(
                 evhttp_request_get_connection(Request))),
             IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  auto Pending = std::make_shared<Responder::State>();
  Pending->Request = Request;
  Pending->Connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request));
  Pending->Server = Common;
  ++Common->OpenRequests;
  Common->Busy.insert(Pending->Connection);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                Responder::State::onClose, Pending.get());
  const Responder Answer(std::move(Pending));
  if (evbuffer_get_length(evhttp_request_get_input_buffer(Request)) >
      Limits.BodyBytes)
    Answer.respond(tooLarge(Limits.BodyBytes));
  else
    OnRequest(readRequest(Request, Limits.KeptHeaders), Answer);
}

void HttpServer::sweepConnections() {
  const Instant Now = Loop.now();
  std::erase_if(Guards, [&](const auto &Entry) {
    const std::unique_ptr<Guard> &Watched = Entry.second;
    if (Watched->freed()) {
      evbuffer_remove_cb(bufferevent_get_input(Watched->Connection),
                         Guard::onInput, Watched.get());
      bufferevent_decref(Watched->Connection);
      return true;
    }
    if (Watched->Receiving && Now - Watched->Since > Limits.RequestTimeout)
      Watched->refuseSlowRequest();
    return false;
  });
}

} // namespace sapphiremoor
