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

constexpr std::string_view RunPathPrefix = "/run/";
constexpr ev_ssize_t MaxBodyBytes = ev_ssize_t{8} << 20;

void addHeader(evhttp_request *Request, const char *Name, const char *Value) {
  evhttp_add_header(evhttp_request_get_output_headers(Request), Name, Value);
}

void reply(evhttp_request *Request, int StatusCode, const std::string &Body) {
  addHeader(Request, "Content-Type", "application/json");
  evbuffer *Buffer = evhttp_request_get_output_buffer(Request);
  evbuffer_add(Buffer, Body.data(), Body.size());
  evhttp_send_reply(Request, StatusCode, nullptr, nullptr);
}

void replyError(evhttp_request *Request, int StatusCode,
                const std::string &Kind) {
  reply(Request, StatusCode, R"({"error":")" + Kind + "\"}");
}

void refuse(evhttp_request *Request) {
  addHeader(Request, "X-Not-Started", "1");
  replyError(Request, 503, "overloaded");
}

std::string readBody(evhttp_request *Request) {
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

std::string quoteJson(const std::string &Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

uint16_t boundPort(evhttp_bound_socket *Socket) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
  if (getsockname(evhttp_bound_socket_get_fd(Socket), GenericAddress, &Size) !=
      0)
    return 0;
  // sin_port and sin6_port have the same offset.
  return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
}

} // namespace

TaskServer::TaskServer(event_base *Base, const Options &Settings,
                       StartCounter &Starts)
    : Base(Base), Settings(Settings), Starts(Starts), Http(evhttp_new(Base)) {
  evhttp_set_max_body_size(Http.get(), MaxBodyBytes);
  evhttp_set_gencb(Http.get(), onRequest, this);
}

uint16_t TaskServer::listen() {
  evhttp_bound_socket *Socket = evhttp_bind_socket_with_handle(
      Http.get(), Settings.Address.c_str(), Settings.Port);
  return Socket == nullptr ? 0 : boundPort(Socket);
}

bool TaskServer::isIdle() const {
  return Settings.TaskMode == Mode::Silent || Tasks.empty();
}

void TaskServer::onRequest(evhttp_request *Request, void *Self) {
  auto &Server = *static_cast<TaskServer *>(Self);
  const char *Path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(Request));
  const std::string RequestPath = Path == nullptr ? "" : Path;
  const bool IsPost = evhttp_request_get_command(Request) == EVHTTP_REQ_POST;
  if (IsPost && RequestPath.starts_with(RunPathPrefix))
    return Server.handleTaskRequest(Request,
                                    RequestPath.substr(RunPathPrefix.size()));
  if (!IsPost && RequestPath == "/starts") {
    const nlohmann::json Counts{{"total", Server.Starts.total()},
                                {"repeated", Server.Starts.repeated()}};
    return reply(Request, 200, Counts.dump());
  }
  replyError(Request, 404, "not_found");
}

bool TaskServer::hasService(const std::string &Service) const {
  return std::ranges::find(Settings.Services, Service) !=
         Settings.Services.end();
}

bool TaskServer::isFull() const {
  // A silent server accepts any number of tasks, because none of them ever
  // frees its slot.
  return Settings.TaskMode != Mode::Silent && Tasks.size() >= Settings.Slots;
}

void TaskServer::handleTaskRequest(evhttp_request *Request,
                                   const std::string &Service) {
  if (taskName(Request).empty())
    return replyError(Request, 400, "missing_key");
  if (!hasService(Service))
    return replyError(Request, 404, "unknown_service");
  if (RefusesNewTasks || isFull())
    return refuse(Request);
  Starts.countStart(taskName(Request));
  if (Settings.TaskMode == Mode::Failing)
    return replyError(Request, 500, "internal");
  startTask(Request, Service);
  if (Settings.TaskMode == Mode::Leaving &&
      Starts.total() == Settings.LeaveAfterTasks) {
    refuseNewTasks();
    if (OnLeave)
      OnLeave();
  }
}

std::string TaskServer::makeAnswer(evhttp_request *Request,
                                   const std::string &Service) const {
  const std::string Body = readBody(Request);
  const std::string TaskJson =
      nlohmann::json::accept(Body) ? Body : quoteJson(Body);
  return R"({"service":)" + quoteJson(Service) + R"(,"task":)" + TaskJson +
         R"(,"worker":)" + quoteJson(Settings.Worker) + "}";
}

void TaskServer::startTask(evhttp_request *Request,
                           const std::string &Service) {
  Task &NewTask = Tasks.emplace_back();
  NewTask.It = std::prev(Tasks.end());
  NewTask.Server = this;
  NewTask.Request = Request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                onClosed, &NewTask);
  if (Settings.TaskMode == Mode::Silent)
    return;
  NewTask.Answer = makeAnswer(Request, Service);
  NewTask.Timer.reset(event_new(Base, -1, 0, onTimer, &NewTask));
  const timeval Timeout =
      toTimeval(Settings.TaskMode == Mode::Slow ? Settings.SlowRunTime
                                                : Settings.RunTime);
  event_add(NewTask.Timer.get(), &Timeout);
}

void TaskServer::onTimer(evutil_socket_t, short, void *Context) {
  auto &EndedTask = *static_cast<Task *>(Context);
  EndedTask.Server->finishTask(EndedTask);
}

void TaskServer::onClosed(evhttp_connection *, void *Context) {
  static_cast<Task *>(Context)->Request = nullptr;
}

void TaskServer::finishTask(Task &EndedTask) {
  evhttp_request *Request = EndedTask.Request;
  const std::string Answer = std::move(EndedTask.Answer);
  Tasks.erase(EndedTask.It);
  if (Request != nullptr) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                  nullptr, nullptr);
    reply(Request, 200, Answer);
  }
  if (OnTaskFinished)
    OnTaskFinished();
}

} // namespace sapphiremoor::standin
