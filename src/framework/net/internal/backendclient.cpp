#include "framework/net/backendclient.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

BackendClient::BackendClient(EventLoop &Loop, const BackendClientLimits &Limits)
    : Loop(Loop), Limits(Limits) {}

BackendClient::~BackendClient() = default;

void BackendClient::send(const Endpoint &To, const HttpCallRequest &Request,
                         HttpCallHandler Handler) {
  Busy.push_front(takeConnection(To));
  const auto Used = Busy.begin();
  (*Used)->send(Request, [this, Used, Handler = std::move(Handler)](
                             const HttpCallResult &Result) {
    finish(Used, Result);
    Handler(Result);
  });
}

std::unique_ptr<HttpConnection>
BackendClient::takeConnection(const Endpoint &To) {
  auto &Pool = Idle[To];
  const Instant Now = Loop.now();
  // The newest connection is last. If it is too old, all are.
  if (!Pool.empty() && Now - Pool.back()->lastAnswer() > Limits.IdleConnection)
    Pool.clear();
  if (!Pool.empty()) {
    auto Taken = std::move(Pool.back());
    Pool.pop_back();
    return Taken;
  }
  ++Opened;
  return std::make_unique<HttpConnection>(Loop, To, Limits.ConnectTimeout);
}

void BackendClient::finish(
    std::list<std::unique_ptr<HttpConnection>>::iterator Used,
    const HttpCallResult &Result) {
  auto Connection = std::move(*Used);
  Busy.erase(Used);
  if (Result.Status == HttpCallStatus::Answered && Connection->reusable()) {
    Idle[Connection->remote()].push_back(std::move(Connection));
    return;
  }
  // The connection is still on the call stack; it is destroyed by a later
  // event of the loop.
  Loop.post(
      [Closed = std::shared_ptr<HttpConnection>(std::move(Connection))] {});
}

} // namespace sapphiremoor
