#ifndef SAPPHIREMOOR_BENCH_PATH_SCENE_H
#define SAPPHIREMOOR_BENCH_PATH_SCENE_H

#include "deployment.h"
#include "framework/net/backendclient.h"
#include "framework/net/timer.h"

#include <memory>
#include <string>

namespace sapphiremoor::bench {

/// Returns a loopback endpoint whose port was free at the time of the call.
Endpoint findFreeEndpoint();

/// Starts this program in a child process as the null backend server.
std::unique_ptr<endtoend::Process>
startNullBackend(const Endpoint &ListenEndpoint, const std::string &LogPath);
/// Starts this program in a child process as the bare forwarder to \p Backend.
std::unique_ptr<endtoend::Process> startRelay(const Endpoint &ListenEndpoint,
                                              const Endpoint &Backend,
                                              const std::string &LogPath);
/// Waits until \p ListenEndpoint accepts connections.
void waitForListener(const Endpoint &ListenEndpoint);

/// Creates requests of the team "counter" for the services that
/// Deployment::configure() defines.
class RequestBuilder {
public:
  /// Reads the token of the team and obtains a key prefix at \p VmName.
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

/// Creates a task request as the daemon sends it to a backend server.
HttpCallRequest makeBackendTask(uint64_t TaskNumber);

/// Announces the null backend server to one VM under several identifiers, so
/// that the dispatcher can choose between several backend servers.
class NullBackendAnnouncer {
public:
  NullBackendAnnouncer(EventLoop &Loop, const endtoend::Deployment &Cluster,
                       const std::string &VmName, const Endpoint &Backend);
  /// Announces the identifiers, again every second, and waits until as many
  /// announcements as identifiers were accepted.
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
