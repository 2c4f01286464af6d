#ifndef SAPPHIREMOOR_BENCH_PATH_SCENE_H
#define SAPPHIREMOOR_BENCH_PATH_SCENE_H

#include "deployment.h"
#include "framework/net/backendclient.h"
#include "framework/net/timer.h"

#include <memory>
#include <string>

namespace sapphiremoor::bench {

/// Returns an endpoint on loopback that was free a moment ago.
Endpoint findFreeEndpoint();

/// Starts this program again as the null backend server.
std::unique_ptr<endtoend::Process>
startNullBackend(const Endpoint &ListenEndpoint, const std::string &LogPath);
/// Starts this program again as the bare forwarder to \p Backend.
std::unique_ptr<endtoend::Process> startRelay(const Endpoint &ListenEndpoint,
                                              const Endpoint &Backend,
                                              const std::string &LogPath);
/// Waits until something listens at \p At.
void waitForListener(const Endpoint &ListenEndpoint);

/// Builds requests of the team "counter" for the services of
/// Deployment::configure().
class RequestBuilder {
public:
  /// Reads the token of the team and obtains a key prefix at \p Vm.
  RequestBuilder(endtoend::Deployment &Cluster, const std::string &VmName);

  HttpCallRequest makeJob(int TaskCount);
  HttpCallRequest makeKeyedRequest();
  HttpCallRequest makeIdempotentRequest() const;

private:
  HttpCallRequest makePost(const std::string &Path,
                           const std::string &Body) const;
  std::string nextKey();

  std::string Token;
  std::string Prefix;
  uint64_t LastKeyNumber = 0;
};

/// A task as the daemon sends it to a backend server.
HttpCallRequest makeBackendTask(uint64_t TaskNumber);

/// Announces the null backend server to one VM under several identifiers, so
/// that the dispatcher has a choice of backend servers.
class NullBackendAnnouncer {
public:
  NullBackendAnnouncer(EventLoop &Loop, const endtoend::Deployment &Cluster,
                       const std::string &VmName, const Endpoint &Backend);
  /// Announces and waits until all identifiers are known.
  void announceAndWait();

  static constexpr int IdentifierCount = 8;
  static constexpr int SlotsPerIdentifier = 16;

private:
  void announce();

  EventLoop &Loop;
  Endpoint VmEndpoint;
  Endpoint Backend;
  std::string Token;
  BackendClient Client;
  Timer RepeatTimer;
  int AcceptedCount = 0;
};

} // namespace sapphiremoor::bench

#endif // SAPPHIREMOOR_BENCH_PATH_SCENE_H
