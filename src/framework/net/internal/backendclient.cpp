#include "framework/net/backendclient.h"

#include <algorithm>
#include <utility>

namespace sapphiremoor {

BackendClient::BackendClient(EventLoop &Loop, const BackendClientLimits &Limits)
    : Loop(Loop), Limits(Limits) {}

BackendClient::~BackendClient() = default;

void BackendClient::send(const Endpoint &Server, const HttpCallRequest &Request,
                         HttpCallHandler Handler) {
  BusyConnections.push_front(takeConnection(Server));
  const auto BusyIt = BusyConnections.begin();
  (*BusyIt)->send(Request, [this, BusyIt, Handler = std::move(Handler)](
                               const HttpCallResult &CallResult) {
    finish(BusyIt, CallResult);
    Handler(CallResult);
  });
}

std::unique_ptr<HttpConnection>
BackendClient::takeConnection(const Endpoint &Server) {
  auto &Pool = IdleConnections[Server];
  const Instant Now = Loop.now();
  // The most recently used connection is last. If it has been idle for too
  // long, all have.
  if (!Pool.empty() &&
      Now - Pool.back()->lastResponseTime() > Limits.IdleTimeout)
    Pool.clear();
  if (!Pool.empty()) {
    auto Reused = std::move(Pool.back());
    Pool.pop_back();
    return Reused;
  }
  ++OpenedConnections;
  return std::make_unique<HttpConnection>(Loop, Server, Limits.ConnectTimeout);
}

void BackendClient::finish(
    std::list<std::unique_ptr<HttpConnection>>::iterator BusyIt,
    const HttpCallResult &CallResult) {
  auto Connection = std::move(*BusyIt);
  BusyConnections.erase(BusyIt);
  if (CallResult.Status == HttpCallStatus::Answered && Connection->reusable()) {
    IdleConnections[Connection->remote()].push_back(std::move(Connection));
    return;
  }
  // The connection is still on the call stack, so a later event destroys it.
  Loop.post(
      [Closed = std::shared_ptr<HttpConnection>(std::move(Connection))] {});
}

} // namespace sapphiremoor
