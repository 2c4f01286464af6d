#include "taskserver.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>

namespace sapphiremoor::standin {

namespace {

constexpr std::string_view RunPrefix = "/run/";
constexpr ev_ssize_t MaxBody = ev_ssize_t{8} << 20;

void addHeader(evhttp_request *Request, const char *Name, const char *Value) {
  evhttp_add_header(evhttp_request_get_output_headers(Request), Name, Value);
}

void reply(evhttp_request *Request, int Code, const std::string &Body) {
  addHeader(Request, "Content-Type", "application/json");
  evbuffer *Buffer = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Buffer, Body.data(), Body.size());
  evhttp_send_reply(Request, Code, nullptr, nullptr);
}

void replyError(evhttp_request *Request, int Code, const std::string &Kind) {
  reply(Request, Code, R"({"error":")" + Kind + "\"}");
}

void refuse(evhttp_request *Request) {
  addHeader(Request, "X-Not-Started", "1");
  replyError(Request, 503, "overloaded");
}

std::string bodyOf(evhttp_request *Request) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_copyout(Buffer, Body.data(), Body.size());
  return Body;
}

std::string taskName(evhttp_request *Request) {
  const char *Name =
      evhttp_find_header(evhttp_request_get_input_headers(Request), "X-Task");
  return Name == nullptr ? "" : Name;
}

std::string quoted(const std::string &Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

uint16_t boundPort(evhttp_bound_socket *Socket) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (getsockname(evhttp_bound_socket_get_fd(Socket), Generic, &Size) != 0)
    return 0;
  // The port is at the same place for both address families.
  return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
}

} // namespace

TaskServer::TaskServer(event_base *Base, const Options &Settings,
                       StartCounter &Starts)
    : Base(Base), Settings(Settings), Starts(Starts), Http(evhttp_new(Base)) {
  evhttp_set_max_body_size(Http.get(), MaxBody);
  evhttp_set_gencb(Http.get(), onRequest, this);
}

uint16_t TaskServer::listen() {
  evhttp_bound_socket *Socket = evhttp_bind_socket_with_handle(
      Http.get(), Settings.Address.c_str(), Settings.Port);
  return Socket == nullptr ? 0 : boundPort(Socket);
}

bool TaskServer::idle() const {
  return Settings.Behaviour == Mode::Silent || Tasks.empty();
}

void TaskServer::onRequest(evhttp_request *Request, void *Self) {
  auto &Server = *static_cast<TaskServer *>(Self);
  const char *Path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(Request));
  const std::string Wanted = Path == nullptr ? "" : Path;
  const bool Post = evhttp_request_get_command(Request) == EVHTTP_REQ_POST;
  if (Post && Wanted.starts_with(RunPrefix))
    return Server.run(Request, Wanted.substr(RunPrefix.size()));
  if (!Post && Wanted == "/starts") {
    const nlohmann::json Counts{{"total", Server.Starts.total()},
                                {"repeated", Server.Starts.repeated()}};
    return reply(Request, 200, Counts.dump());
  }
  replyError(Request, 404, "not_found");
}

bool TaskServer::carries(const std::string &Service) const {
  return std::ranges::find(Settings.Services, Service) !=
         Settings.Services.end();
}

bool TaskServer::full() const {
  // A silent server accepts without end: its tasks never free a slot.
  return Settings.Behaviour != Mode::Silent && Tasks.size() >= Settings.Slots;
}

void TaskServer::run(evhttp_request *Request, const std::string &Service) {
  if (taskName(Request).empty())
    return replyError(Request, 400, "missing_key");
  if (!carries(Service))
    return replyError(Request, 404, "unknown_service");
  if (Refusing || full())
    return refuse(Request);
  Starts.started(taskName(Request));
  if (Settings.Behaviour == Mode::Failing)
    return replyError(Request, 500, "internal");
  start(Request, Service);
  if (Settings.Behaviour == Mode::Leaving &&
      Starts.total() == Settings.LeaveAfter) {
    refuseNew();
    if (OnLeave)
      OnLeave();
  }
}

std::string TaskServer::answerFor(evhttp_request *Request,
                                  const std::string &Service) const {
  const std::string Body = bodyOf(Request);
  const std::string Task = nlohmann::json::accept(Body) ? Body : quoted(Body);
  return R"({"service":)" + quoted(Service) + R"(,"task":)" + Task +
         R"(,"worker":)" + quoted(Settings.Worker) + "}";
}

void TaskServer::start(evhttp_request *Request, const std::string &Service) {
  Task &Added = Tasks.emplace_back();
  Added.Place = std::prev(Tasks.end());
  Added.Server = this;
  Added.Request = Request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                onClosed, &Added);
  if (Settings.Behaviour == Mode::Silent)
    return;
  Added.Answer = answerFor(Request, Service);
  Added.Timer.reset(event_new(Base, -1, 0, onTimer, &Added));
  const timeval Time = timevalOf(
      Settings.Behaviour == Mode::Slow ? Settings.Slow : Settings.Run);
  event_add(Added.Timer.get(), &Time);
}

void TaskServer::onTimer(evutil_socket_t, short, void *Running) {
  auto &Ended = *static_cast<Task *>(Running);
  Ended.Server->finish(Ended);
}

void TaskServer::onClosed(evhttp_connection *, void *Running) {
  static_cast<Task *>(Running)->Request = nullptr;
}

void TaskServer::finish(Task &Running) {
  evhttp_request *Request = Running.Request;
  const std::string Answer = std::move(Running.Answer);
  Tasks.erase(Running.Place);
  if (Request != nullptr) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                  nullptr, nullptr);
    reply(Request, 200, Answer);
  }
  if (OnFinished)
    OnFinished();
}

} // namespace sapphiremoor::standin
