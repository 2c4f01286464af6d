#ifndef SAPPHIREMOOR_BENCH_PATH_SCENE_H
#define SAPPHIREMOOR_BENCH_PATH_SCENE_H

#include "deployment.h"
#include "framework/net/backendclient.h"
#include "framework/net/timer.h"

#include <memory>
#include <string>

namespace sapphiremoor::bench {

/// Returns an endpoint on loopback that was free a moment ago.
Endpoint freeEndpoint();

/// Starts this program again as the null backend server.
std::unique_ptr<endtoend::Process> startNullBackend(const Endpoint &At,
                                                    const std::string &Log);
/// Starts this program again as the bare forwarder to \p Backend.
std::unique_ptr<endtoend::Process>
startRelay(const Endpoint &At, const Endpoint &Backend, const std::string &Log);
/// Waits until something listens at \p At.
void waitForListener(const Endpoint &At);

/// Builds requests of the team "counter" for the services of
/// Deployment::configure().
class CallerRequests {
public:
  /// Reads the token of the team and obtains a key prefix at \p Vm.
  CallerRequests(endtoend::Deployment &At, const std::string &Vm);

  HttpCallRequest job(int Tasks);
  HttpCallRequest keyedRequest();
  HttpCallRequest idempotentRequest() const;

private:
  HttpCallRequest post(const std::string &Path, const std::string &Body) const;
  std::string nextKey();

  std::string Token;
  std::string Prefix;
  uint64_t Number = 0;
};

/// A task as the daemon sends it to a backend server.
HttpCallRequest backendTask(uint64_t Number);

/// Announces the null backend server to one VM under several identifiers, so
/// that the dispatcher has a choice of backend servers.
class NullAnnouncer {
public:
  NullAnnouncer(EventLoop &Loop, const endtoend::Deployment &At,
                const std::string &Vm, const Endpoint &Backend);
  /// Announces and waits until all identifiers are known.
  void announceAndWait();

  static constexpr int Count = 8;
  static constexpr int SlotsEach = 16;

private:
  void announce();

  EventLoop &Loop;
  Endpoint Vm;
  Endpoint Backend;
  std::string Token;
  BackendClient Client;
  Timer Repeat;
  int Known = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_SCENE_H
