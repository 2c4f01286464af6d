#include "announcer.h"

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphiremoor::standin {

namespace {

using std::chrono::milliseconds;

// Short enough not to slow a test down, long enough not to be a busy loop.
constexpr milliseconds RetryDelay(250);
constexpr milliseconds DefaultAnnounceDelay(1000);
constexpr int AnswerTimeoutSeconds = 2;

int statusCode(evhttp_request *Request) {
  return Request == nullptr ? 0 : evhttp_request_get_response_code(Request);
}

nlohmann::json parseAnswer(evhttp_request *Request) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  const auto Size = static_cast<int>(evbuffer_get_length(Buffer));
  const auto *Data =
      reinterpret_cast<const char *>(evbuffer_pullup(Buffer, Size));
  return nlohmann::json::parse(std::string(Data, Data + Size), nullptr, false);
}

milliseconds parseNextDelay(const nlohmann::json &Answer) {
  if (!Answer.is_object() || !Answer.contains("next_ms") ||
      !Answer["next_ms"].is_number_unsigned())
    return DefaultAnnounceDelay;
  return milliseconds(std::max(Answer["next_ms"].get<int>(), 10));
}

std::optional<Endpoint> parseRedirect(const nlohmann::json &Answer) {
  if (!Answer.is_object() || !Answer.contains("announce_to"))
    return std::nullopt;
  const nlohmann::json &TargetJson = Answer["announce_to"];
  if (!TargetJson.is_object() || !TargetJson.contains("address") ||
      !TargetJson.contains("port") || !TargetJson["address"].is_string() ||
      !TargetJson["port"].is_number_unsigned())
    return std::nullopt;
  return Endpoint{TargetJson["address"].get<std::string>(),
                  TargetJson["port"].get<uint16_t>()};
}

} // namespace

Announcer::Announcer(event_base *Base, const Options &Settings,
                     std::function<unsigned()> RunningCount)
    : Base(Base), Settings(Settings), RunningCount(std::move(RunningCount)),
      Timer(event_new(Base, -1, 0, onTimer, this)) {
  if (!Settings.AnnounceTargets.empty())
    rotateTarget();
}

void Announcer::start(uint16_t ListeningPort) {
  Port = ListeningPort;
  if (!Settings.AnnounceTargets.empty())
    scheduleSend(milliseconds(0));
}

void Announcer::leave(std::function<void()> OnDone) {
  OnLeaveDone = std::move(OnDone);
  if (Settings.AnnounceTargets.empty())
    HasLeft = true;
  if (HasLeft)
    return OnLeaveDone();
  if (std::exchange(IsLeaving, true))
    return;
  // Cancels a pending announcement, so that its answer is not mistaken for the
  // answer to the DELETE.
  Connection.reset();
  scheduleSend(milliseconds(0));
}

void Announcer::rotateTarget() {
  Target = Settings.AnnounceTargets[NextTargetIndex];
  NextTargetIndex = (NextTargetIndex + 1) % Settings.AnnounceTargets.size();
}

void Announcer::scheduleSend(milliseconds Delay) {
  const timeval Timeout = toTimeval(Delay);
  event_add(Timer.get(), &Timeout);
}

void Announcer::onTimer(evutil_socket_t, short, void *Self) {
  static_cast<Announcer *>(Self)->send();
}

std::string Announcer::announcementBody() const {
  const uint16_t AnnouncedPort =
      Settings.AdvertisedPort == 0 ? Port : Settings.AdvertisedPort;
  return nlohmann::json{
      {"address", Settings.Address},   {"port", AnnouncedPort},
      {"worker", Settings.Worker},     {"rack", Settings.Rack},
      {"services", Settings.Services}, {"slots", Settings.Slots},
      {"running", RunningCount()}}
      .dump();
}

void Announcer::send() {
  // Opens a new connection for each announcement, because an open one may be
  // dead without notice. This also cancels an announcement that is still
  // waiting for its answer.
  Connection.reset(evhttp_connection_base_new(
      Base, nullptr, Target.Address.c_str(), Target.Port));
  evhttp_connection_set_timeout(Connection.get(), AnswerTimeoutSeconds);
  evhttp_request *Request = evhttp_request_new(onAnswer, this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  const std::string Host = Target.Address + ":" + std::to_string(Target.Port);
  evhttp_add_header(Headers, "Host", Host.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  if (!Settings.Token.empty())
    evhttp_add_header(Headers, "Authorization",
                      ("Bearer " + Settings.Token).c_str());
  const std::string Body = IsLeaving ? "" : announcementBody();
  evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
               Body.size());
  if (evhttp_make_request(Connection.get(), Request,
                          IsLeaving ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST,
                          ("/v1/backends/" + Settings.Id).c_str()) != 0)
    onAnswer(nullptr, this);
}

void Announcer::onAnswer(evhttp_request *Request, void *Self) {
  auto &Sender = *static_cast<Announcer *>(Self);
  if (Sender.IsLeaving)
    return Sender.handleDeleteAnswer(statusCode(Request));
  Sender.handleAnnounceAnswer(Request);
}

void Announcer::handleAnnounceAnswer(evhttp_request *Request) {
  if (statusCode(Request) != 200) {
    rotateTarget();
    return scheduleSend(RetryDelay);
  }
  const nlohmann::json Answer = parseAnswer(Request);
  if (const auto Redirect = parseRedirect(Answer))
    Target = *Redirect;
  scheduleSend(parseNextDelay(Answer));
}

void Announcer::handleDeleteAnswer(int StatusCode) {
  const bool Accepted = StatusCode >= 200 && StatusCode < 300;
  if (!Accepted && ++FailedDeletes <= Settings.AnnounceTargets.size()) {
    rotateTarget();
    return scheduleSend(milliseconds(0));
  }
  HasLeft = true;
  OnLeaveDone();
}

} // namespace sapphiremoor::standin
