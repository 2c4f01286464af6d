#include "announcer.h"

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphiremoor::standin {

namespace {

using std::chrono::milliseconds;

// Short enough that a test does not wait for it, long enough not to spin.
constexpr milliseconds RetryPause(250);
constexpr milliseconds DefaultPause(1000);
constexpr int AnswerSeconds = 2;

int codeOf(evhttp_request *Request) {
  return Request == nullptr ? 0 : evhttp_request_get_response_code(Request);
}

nlohmann::json answerOf(evhttp_request *Request) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  const auto Size = static_cast<int>(evbuffer_get_length(Buffer));
  const auto *Data =
      reinterpret_cast<const char *>(evbuffer_pullup(Buffer, Size));
  return nlohmann::json::parse(std::string(Data, Data + Size), nullptr, false);
}

milliseconds nextPause(const nlohmann::json &Answer) {
  if (!Answer.is_object() || !Answer.contains("next_ms") ||
      !Answer["next_ms"].is_number_unsigned())
    return DefaultPause;
  return milliseconds(std::max(Answer["next_ms"].get<int>(), 10));
}

std::optional<Endpoint> nextTarget(const nlohmann::json &Answer) {
  if (!Answer.is_object() || !Answer.contains("announce_to"))
    return std::nullopt;
  const nlohmann::json &To = Answer["announce_to"];
  if (!To.is_object() || !To.contains("address") || !To.contains("port") ||
      !To["address"].is_string() || !To["port"].is_number_unsigned())
    return std::nullopt;
  return Endpoint{To["address"].get<std::string>(), To["port"].get<uint16_t>()};
}

} // namespace

Announcer::Announcer(event_base *Base, const Options &Settings,
                     std::function<unsigned()> Running)
    : Base(Base), Settings(Settings), Running(std::move(Running)),
      Timer(event_new(Base, -1, 0, onTimer, this)) {
  if (!Settings.Announce.empty())
    rotateTarget();
}

void Announcer::start(uint16_t ListeningPort) {
  Port = ListeningPort;
  if (!Settings.Announce.empty())
    scheduleIn(milliseconds(0));
}

void Announcer::leave(std::function<void()> Done) {
  OnLeft = std::move(Done);
  if (Settings.Announce.empty())
    Left = true;
  if (Left)
    return OnLeft();
  if (std::exchange(Leaving, true))
    return;
  // The answer to an earlier announcement is not the answer to the DELETE.
  Link.reset();
  scheduleIn(milliseconds(0));
}

void Announcer::rotateTarget() {
  Target = Settings.Announce[NextInList];
  NextInList = (NextInList + 1) % Settings.Announce.size();
}

void Announcer::scheduleIn(milliseconds Pause) {
  const timeval Time = timevalOf(Pause);
  event_add(Timer.get(), &Time);
}

void Announcer::onTimer(evutil_socket_t, short, void *Self) {
  static_cast<Announcer *>(Self)->send();
}

std::string Announcer::body() const {
  const uint16_t Told =
      Settings.AdvertisedPort == 0 ? Port : Settings.AdvertisedPort;
  return nlohmann::json{
      {"address", Settings.Address},   {"port", Told},
      {"worker", Settings.Worker},     {"rack", Settings.Rack},
      {"services", Settings.Services}, {"slots", Settings.Slots},
      {"running", Running()}}
      .dump();
}

void Announcer::send() {
  // A connection for each announcement: an open one could be silently dead.
  // This also ends an announcement that is still waiting for its answer.
  Link.reset(evhttp_connection_base_new(Base, nullptr, Target.Address.c_str(),
                                        Target.Port));
  evhttp_connection_set_timeout(Link.get(), AnswerSeconds);
  evhttp_request *Request = evhttp_request_new(onAnswer, this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  const std::string Host = Target.Address + ":" + std::to_string(Target.Port);
  evhttp_add_header(Headers, "Host", Host.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  if (!Settings.Token.empty())
    evhttp_add_header(Headers, "Authorization",
                      ("Bearer " + Settings.Token).c_str());
  const std::string Body = Leaving ? "" : body();
  evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
               Body.size());
  if (evhttp_make_request(Link.get(), Request,
                          Leaving ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST,
                          ("/v1/backends/" + Settings.Id).c_str()) != 0)
    onAnswer(nullptr, this);
}

void Announcer::onAnswer(evhttp_request *Request, void *Self) {
  auto &Sender = *static_cast<Announcer *>(Self);
  if (Sender.Leaving)
    return Sender.deleted(codeOf(Request));
  Sender.announced(Request);
}

void Announcer::announced(evhttp_request *Request) {
  if (codeOf(Request) != 200) {
    rotateTarget();
    return scheduleIn(RetryPause);
  }
  const nlohmann::json Answer = answerOf(Request);
  if (const auto Told = nextTarget(Answer))
    Target = *Told;
  scheduleIn(nextPause(Answer));
}

void Announcer::deleted(int Code) {
  const bool Taken = Code >= 200 && Code < 300;
  if (!Taken && ++DeletesFailed <= Settings.Announce.size()) {
    rotateTarget();
    return scheduleIn(milliseconds(0));
  }
  Left = true;
  OnLeft();
}

} // namespace sapphiremoor::standin
