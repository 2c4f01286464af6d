#ifndef SAPPHIREMOOR_FRAMEWORK_NET_BACKENDCLIENT_H
#define SAPPHIREMOOR_FRAMEWORK_NET_BACKENDCLIENT_H

#include "framework/core/types/endpoint.h"
#include "framework/net/eventloop.h"
#include "framework/net/httpcall.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace sapphiremoor {

/// Limits of the connections to backend servers.
struct BackendClientLimits {
  Duration ConnectTimeout = std::chrono::milliseconds(300);
  /// Time after its last response for which a connection is reused. An older
  /// connection may be broken without notice, so it is replaced before a
  /// request is written to it.
  Duration IdleTimeout = std::chrono::seconds(2);
};

/// A pool of HTTP connections to backend servers. Each connection carries one
/// request at a time, so a late response cannot be assigned to another request.
class BackendClient {
public:
  BackendClient(EventLoop &Loop, const BackendClientLimits &Limits);
  ~BackendClient();
  BackendClient(const BackendClient &) = delete;
  BackendClient &operator=(const BackendClient &) = delete;

  /// Sends \p Request to \p Server and calls \p Handler once with the result.
  void send(const Endpoint &Server, const HttpCallRequest &Request,
            HttpCallHandler Handler);

  /// Returns the number of connections opened so far.
  uint64_t connectionsOpened() const { return OpenedConnections; }

private:
  std::unique_ptr<HttpConnection> takeConnection(const Endpoint &Server);
  void finish(std::list<std::unique_ptr<HttpConnection>>::iterator BusyIt,
              const HttpCallResult &CallResult);

  EventLoop &Loop;
  BackendClientLimits Limits;
  uint64_t OpenedConnections = 0;
  std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>>
      IdleConnections;
  std::list<std::unique_ptr<HttpConnection>> BusyConnections;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_NET_BACKENDCLIENT_H
