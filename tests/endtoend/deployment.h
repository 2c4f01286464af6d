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

/// One entry VM of a test.
struct Vm {
  std::string Name;
  std::string DataCentre;
  /// Has a disk and votes.
  bool IsVoter = false;
};

/// A link from one VM to another that passes a relay.
struct RelayedLink {
  std::string SourceVm;
  std::string TargetVm;

  auto operator<=>(const RelayedLink &) const = default;
};

/// An answer with its JSON body.
struct Reply {
  HttpCallStatus CallStatus = HttpCallStatus::Unknown;
  int StatusCode = 0;
  Json Body;

  std::string status() const { return Body.value("status", ""); }
  std::string errorKind() const;
};

/// A request that runs while the test goes on.
class PendingReply;

/// Daemons and stand-in backend servers as separate processes. Each test
/// process has loopback addresses of its own, so that tests run in parallel.
class Deployment {
public:
  /// Starts the daemons of \p Vms and waits until all see each other.
  /// \p Limits is the JSON of the setting "limits".
  /// The links \p RelayedLinks pass relays.
  explicit Deployment(std::vector<Vm> Vms, const std::string &Limits = "{}",
                      const std::vector<RelayedLink> &RelayedLinks = {});
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Applies a configuration with the idempotent service "quote", the service
  /// "stamp" that must not be repeated, and the teams "counter" and "press".
  void configure();

  void startVm(const std::string &Name);
  /// The relay of a link named at construction.
  const RelayProcess &relay(const RelayedLink &Link) const {
    return *Relays.at(Link);
  }
  Process &vm(const std::string &Name) { return *Daemons.at(Name); }
  /// Removes the data folder of a stopped VM.
  void wipeData(const std::string &Name) const;

  /// Starts a stand-in in the data centre of \p NearVm and waits until its
  /// dispatcher knows it. \p ExtraOptions are further options.
  void addBackend(const std::string &Id, const std::string &NearVm,
                  const std::vector<std::string> &ExtraOptions = {});
  Process &backend(const std::string &Id) { return *Backends.at(Id); }

  /// Sends a request and waits for the answer.
  Reply call(const std::string &Vm, const std::string &Token, HttpMethod Method,
             const std::string &Path, const std::string &Body = "");
  /// Sends a request without waiting.
  std::unique_ptr<PendingReply>
  beginCall(const std::string &Vm, const std::string &Token, HttpMethod Method,
            const std::string &Path, const std::string &Body = "");

  /// Obtains a key prefix for the team "counter" at \p Vm.
  std::string requestPrefix(const std::string &Vm);
  /// Status report of a VM.
  Json status(const std::string &Vm);
  std::string dispatcher(const std::string &Vm);
  /// Applies one file as operator; returns the answer.
  Reply applyFile(const std::string &Vm, const std::string &File,
                  const std::string &Text, uint64_t ExpectedRevision,
                  const std::string &RequestId);
  /// Applies one file, again with the same request id until it is decided.
  void applyFileWithRetries(const std::string &Vm, const std::string &File,
                            const std::string &Text);

  /// Starts of each task as the backend servers counted them.
  std::map<std::string, int> startCounts() const;
  /// Fails the test if any task of a key was started more than once.
  void checkNoDoubleStart() const;

  /// Runs \p Condition until it holds; fails the test after a minute.
  static void waitUntil(const std::string &Description,
                        const std::function<bool()> &Condition);

  const std::string &folder() const { return Folder; }
  Endpoint http(const std::string &Vm) const;
  Endpoint peer(const std::string &Vm) const;

private:
  void writeSettings(const Vm &LocalVm, const std::string &Limits) const;
  void writeSecret(const std::string &File, const std::string &Text) const;
  std::string address(const std::string &VmName) const;
  /// Where \p SourceVm dials the VM \p To.
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
  /// Returns true once the answer or the loss of the connection is known.
  bool done();
  /// Waits for the answer.
  Reply wait();

private:
  EventLoop &Loop;
  HttpConnection Connection;
  std::optional<HttpCallResult> Result;
};

/// Body of a job with \p Count tasks.
std::string jobBody(const std::string &Service, int Count,
                    int DeadlineMs = 20000);

} // namespace sapphiremoor::endtoend

#endif // SAPPHIREMOOR_TESTS_ENDTOEND_DEPLOYMENT_H
