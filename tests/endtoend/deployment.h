#ifndef SAPPHIREMOOR_TESTS_ENDTOEND_DEPLOYMENT_H
#define SAPPHIREMOOR_TESTS_ENDTOEND_DEPLOYMENT_H

#include "framework/net/httpcall.h"
#include "process.h"
#include "relayprocess.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor::endtoend {

using Json = nlohmann::json;

/// An entry VM of the deployment under test.
struct Vm {
  std::string Name;
  std::string DataCentre;
  /// True for a voter. Only voters have a data folder.
  bool IsVoter = false;
};

/// A link from one VM to another that goes through a relay.
struct RelayedLink {
  std::string SourceVm;
  std::string TargetVm;

  auto operator<=>(const RelayedLink &) const = default;
};

/// Answer to an HTTP request, with the parsed JSON body.
struct Reply {
  HttpCallStatus CallStatus = HttpCallStatus::Unknown;
  int StatusCode = 0;
  Json Body;

  std::string status() const { return Body.value("status", ""); }
  std::string errorKind() const;
};

/// An HTTP request in progress, which does not block the test.
class PendingReply;

/// Starts daemons and stand-in backend servers as separate processes. Each test
/// process uses its own loopback addresses, so that tests can run in parallel.
class Deployment {
public:
  /// Starts the daemons of \p Vms and waits until all see each other. \p Limits
  /// is the JSON value of the setting "limits". \p RelayedLinks lists the links
  /// that go through a relay.
  explicit Deployment(std::vector<Vm> Vms, const std::string &Limits = "{}",
                      const std::vector<RelayedLink> &RelayedLinks = {});
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Applies a configuration with the idempotent service "quote", the service
  /// "stamp", whose tasks must not run twice, and the teams "counter" and
  /// "press".
  void configure();

  /// Starts the daemon of a VM, for the first time or again.
  void startVm(const std::string &Name);
  /// Returns the relay of a link that was passed to the constructor.
  const RelayProcess &relay(const RelayedLink &Link) const {
    return *Relays.at(Link);
  }
  Process &vm(const std::string &Name) { return *Daemons.at(Name); }
  /// Removes the data folder of a stopped VM.
  void wipeData(const std::string &Name) const;

  /// Starts a stand-in that announces itself to \p NearVm, and waits until the
  /// dispatcher of that data centre lists it as serving. \p ExtraOptions extend
  /// the default command-line options or override them by name.
  void addBackend(const std::string &Id, const std::string &NearVm,
                  const std::vector<std::string> &ExtraOptions = {});
  Process &backend(const std::string &Id) { return *Backends.at(Id); }

  /// Sends a request and waits for the answer. \p Token is the name of a token
  /// of this deployment; any other text is sent as the token itself.
  Reply call(const std::string &Vm, const std::string &Token, HttpMethod Method,
             const std::string &Path, const std::string &Body = "");
  /// Sends a request without waiting for the answer.
  std::unique_ptr<PendingReply>
  beginCall(const std::string &Vm, const std::string &Token, HttpMethod Method,
            const std::string &Path, const std::string &Body = "");

  /// Requests a new key prefix for the team "counter" at \p Vm.
  std::string requestPrefix(const std::string &Vm);
  /// Returns the status report of a VM, or an empty object if the request
  /// fails.
  Json status(const std::string &Vm);
  /// Returns the dispatcher that \p Vm reports, or \p Vm if it reports none.
  std::string dispatcher(const std::string &Vm);
  /// Applies one configuration file as an operator. Returns the answer.
  Reply applyFile(const std::string &Vm, const std::string &File,
                  const std::string &Text, uint64_t ExpectedRevision,
                  const std::string &RequestId);
  /// Applies one configuration file. Retries with the same request id until the
  /// change is accepted.
  void applyFileWithRetries(const std::string &Vm, const std::string &File,
                            const std::string &Text);

  /// Returns how often each task was started, as counted by the backend
  /// servers.
  std::map<std::string, int> startCounts() const;
  /// Fails the test if any task of a key was started more than once.
  void checkNoDoubleStart() const;

  /// Polls \p Condition until it holds. Fails the test with \p Description
  /// after a minute.
  static void waitUntil(const std::string &Description,
                        const std::function<bool()> &Condition);

  const std::string &folder() const { return Folder; }
  /// Returns the endpoint for HTTP requests to \p Vm.
  Endpoint http(const std::string &Vm) const;
  /// Returns the endpoint for internal connections to \p Vm.
  Endpoint peer(const std::string &Vm) const;

private:
  void writeSettings(const Vm &LocalVm, const std::string &Limits) const;
  void writeSecret(const std::string &File, const std::string &Text) const;
  std::string address(const std::string &VmName) const;
  /// Returns the endpoint to which \p SourceVm connects to reach \p TargetVm:
  /// the relay of the link if it has one.
  Endpoint connectEndpoint(const std::string &SourceVm,
                           const std::string &TargetVm) const;

  std::vector<Vm> Vms;
  std::string Folder;
  std::map<RelayedLink, std::unique_ptr<RelayProcess>> Relays;
  std::map<std::string, std::unique_ptr<Process>> Daemons;
  std::map<std::string, std::unique_ptr<Process>> Backends;
  EventLoop Loop;
  int LastRequestNumber = 0;
};

class PendingReply {
public:
  PendingReply(EventLoop &Loop, const Endpoint &RemoteEndpoint,
               const HttpCallRequest &Request);
  /// Handles pending events without blocking. Returns true once the answer has
  /// arrived or the request has failed.
  bool done();
  /// Blocks until the request has ended, and returns the answer.
  Reply wait();

private:
  EventLoop &Loop;
  HttpConnection Connection;
  std::optional<HttpCallResult> Result;
};

/// Returns the JSON body of a job with \p Count tasks.
std::string jobBody(const std::string &Service, int Count,
                    int DeadlineMs = 20000);

} // namespace sapphiremoor::endtoend

#endif // SAPPHIREMOOR_TESTS_ENDTOEND_DEPLOYMENT_H
