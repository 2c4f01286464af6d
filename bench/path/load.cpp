#include "load.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>

namespace sapphiremoor::bench {

namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point Begin) {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}

/// The connections of one run, each with a request in flight.
class ClosedLoop {
public:
  ClosedLoop(EventLoop &Loop, const RequestMaker &Make)
      : Loop(Loop), Make(Make) {}

  LoadResult run(const Endpoint &To, int Connections, Duration Time) {
    for (int I = 0; I < Connections; ++I)
      Links.push_back(
          std::make_unique<HttpConnection>(Loop, To, std::chrono::seconds(2)));
    const auto Begin = Clock::now();
    Running = true;
    for (const auto &Link : Links)
      sendNext(*Link);
    while (Clock::now() - Begin < Time && InFlight > 0)
      Loop.runOnce(true);
    Result.Seconds = secondsSince(Begin);
    LoadResult Measured = Result;
    drain();
    Measured.AnsweredInAll = Result.Answered;
    return Measured;
  }

private:
  void sendNext(HttpConnection &Link) {
    ++InFlight;
    Link.send(Make(), [this, &Link](const HttpCallResult &Answer) {
      --InFlight;
      record(Answer);
      // A failed connection stays closed, so that an endless loop of failures
      // cannot occur.
      if (Running && Answer.Status == HttpCallStatus::Answered)
        sendNext(Link);
    });
  }

  void record(const HttpCallResult &Answer) {
    if (succeeded(Answer)) {
      ++Result.Answered;
      return;
    }
    ++Result.Failed;
    Result.LastFailure = std::to_string(Answer.StatusCode) + " " + Answer.Body;
  }

  void drain() {
    Running = false;
    while (InFlight > 0)
      Loop.runOnce(true);
  }

  EventLoop &Loop;
  const RequestMaker &Make;
  std::vector<std::unique_ptr<HttpConnection>> Links;
  LoadResult Result;
  int InFlight = 0;
  bool Running = false;
};

} // namespace

bool succeeded(const HttpCallResult &Answer) {
  return Answer.Status == HttpCallStatus::Answered && Answer.StatusCode == 200;
}

LoadResult runLoad(EventLoop &Loop, const Endpoint &To, int Connections,
                   Duration Time, const RequestMaker &Make) {
  return ClosedLoop(Loop, Make).run(To, Connections, Time);
}

double timedCall(EventLoop &Loop, HttpConnection &Link,
                 const HttpCallRequest &Request) {
  std::optional<HttpCallResult> Answer;
  const auto Begin = Clock::now();
  Link.send(Request,
            [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Loop.runOnce(true);
  const double Seconds = secondsSince(Begin);
  if (!succeeded(*Answer))
    throw std::runtime_error(Request.Path + " was answered with " +
                             std::to_string(Answer->StatusCode) + " " +
                             Answer->Body);
  return Seconds * 1e6;
}

double quantile(std::vector<double> Values, double Share) {
  std::ranges::sort(Values);
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Last * Share)];
}

} // namespace sapphiremoor::bench
