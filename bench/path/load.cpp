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

/// The connections of one measurement, each with one request in flight.
class ClosedLoop {
public:
  ClosedLoop(EventLoop &Loop, const RequestMaker &MakeRequest)
      : Loop(Loop), MakeRequest(MakeRequest) {}

  LoadResult run(const Endpoint &Target, int ConnectionCount,
                 Duration LoadDuration) {
    for (int I = 0; I < ConnectionCount; ++I)
      Connections.push_back(std::make_unique<HttpConnection>(
          Loop, Target, std::chrono::seconds(2)));
    const auto Begin = Clock::now();
    Running = true;
    for (const auto &Connection : Connections)
      sendNext(*Connection);
    while (Clock::now() - Begin < LoadDuration && InFlight > 0)
      Loop.runOnce(true);
    Result.Seconds = secondsSince(Begin);
    LoadResult Measured = Result;
    awaitAnswers();
    Measured.SucceededInTotal = Result.Succeeded;
    return Measured;
  }

private:
  void sendNext(HttpConnection &Connection) {
    ++InFlight;
    Connection.send(MakeRequest(),
                    [this, &Connection](const HttpCallResult &Answer) {
                      --InFlight;
                      recordAnswer(Answer);
                      // A failed connection is not used again, so that
                      // failures cannot repeat endlessly.
                      if (Running && Answer.Status == HttpCallStatus::Answered)
                        sendNext(Connection);
                    });
  }

  void recordAnswer(const HttpCallResult &Answer) {
    if (succeeded(Answer)) {
      ++Result.Succeeded;
      return;
    }
    ++Result.Failed;
    Result.LastFailure = std::to_string(Answer.StatusCode) + " " + Answer.Body;
  }

  void awaitAnswers() {
    Running = false;
    while (InFlight > 0)
      Loop.runOnce(true);
  }

  EventLoop &Loop;
  const RequestMaker &MakeRequest;
  std::vector<std::unique_ptr<HttpConnection>> Connections;
  LoadResult Result;
  int InFlight = 0;
  bool Running = false;
};

} // namespace

bool succeeded(const HttpCallResult &Answer) {
  return Answer.Status == HttpCallStatus::Answered && Answer.StatusCode == 200;
}

LoadResult runLoad(EventLoop &Loop, const Endpoint &Target, int ConnectionCount,
                   Duration LoadDuration, const RequestMaker &MakeRequest) {
  return ClosedLoop(Loop, MakeRequest)
      .run(Target, ConnectionCount, LoadDuration);
}

double timeCall(EventLoop &Loop, HttpConnection &Connection,
                const HttpCallRequest &Request) {
  std::optional<HttpCallResult> Answer;
  const auto Begin = Clock::now();
  Connection.send(Request,
                  [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Loop.runOnce(true);
  const double Seconds = secondsSince(Begin);
  if (!succeeded(*Answer))
    throw std::runtime_error(
        "request to " + Request.Path + " failed with status " +
        std::to_string(Answer->StatusCode) + " " + Answer->Body);
  return Seconds * 1e6;
}

double quantile(std::vector<double> Values, double Fraction) {
  std::ranges::sort(Values);
  const auto LastIndex = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(LastIndex * Fraction)];
}

} // namespace sapphiremoor::bench
