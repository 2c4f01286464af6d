#ifndef SAPPHIREMOOR_DAEMON_HTTPAPI_H
#define SAPPHIREMOOR_DAEMON_HTTPAPI_H

#include "daemon/backendregistry.h"
#include "daemon/configservice.h"
#include "daemon/jobrouter.h"
#include "daemon/outcomerecorder.h"
#include "daemon/statusreport.h"
#include "framework/metrics/registry.h"
#include "framework/net/httpserver.h"
#include "gateway/jobparser.h"
#include "gateway/tokentable.h"
#include "gateway/types/command.h"

#include <string>

namespace sapphiremoor {

/// Serves callers, operators and backend servers over HTTP.
class HttpApi {
public:
  struct ServiceRefs {
    JobRouter &Router;
    BackendRegistry &Backends;
    ConfigService &Config;
    MembershipService &Membership;
    Registry &Metrics;
    OutcomeRecorder &Outcomes;
    StatusSources Status;
  };

  HttpApi(EventLoop &Loop, const Settings &VmSettings, TokenTable Tokens,
          KeyCodec &Keys, ServiceRefs Services);

  Result<uint16_t> start();

  /// Stops accepting connections.
  void stopListening() { Server.stopListening(); }
  std::size_t openRequests() const { return Server.openRequests(); }

private:
  /// An authenticated request and the means to answer it.
  struct ApiCall {
    HttpRequest Request;
    Identity Caller;
    Responder HttpResponder;
  };

  void handle(HttpRequest Request, const Responder &HttpResponder);
  void perform(const ApiCall &Call, const IssuePrefixCommand &Command);
  void perform(const ApiCall &Call, const SubmitCommand &Command);
  void perform(const ApiCall &Call, const RunIdempotentCommand &Command);
  void perform(const ApiCall &Call, const FetchCommand &Command);
  void perform(const ApiCall &Call, const CancelCommand &Command);
  void perform(const ApiCall &Call, const ShowStatusCommand &Command);
  void perform(const ApiCall &Call, const ShowMetricsCommand &Command);
  void perform(const ApiCall &Call, const ShowBurnCommand &Command);
  void perform(const ApiCall &Call, const ShowConfigCommand &Command);
  void perform(const ApiCall &Call, const ChangeConfigCommand &Command);
  void perform(const ApiCall &Call, const ChangeVoterCommand &Command);
  void perform(const ApiCall &Call, const AnnounceCommand &Command);
  void perform(const ApiCall &Call, const LeaveCommand &Command);
  void perform(const ApiCall &Call, const DrainCommand &Command);

  void reject(const Responder &HttpResponder, const Error &Reason);
  Result<JobKey> parseCallerKey(const ApiCall &Call, const std::string &Text);
  Result<JobRequest> parseJob(const ApiCall &Call, bool Single) const;
  /// Returns a handler that counts the outcome of \p Job, then calls \p
  /// Handler.
  JobReplyHandler makeRecordingHandler(const JobRequest &Job,
                                       JobReplyHandler Handler);
  /// Returns a handler that answers \p Call. If \p Wait passes first, the
  /// caller gets status 202 instead.
  JobReplyHandler makeAnswerHandler(const ApiCall &Call, const std::string &Key,
                                    std::optional<Duration> Wait);

  EventLoop &Loop;
  const Settings &VmSettings;
  TokenTable Tokens;
  KeyCodec &Keys;
  ServiceRefs Services;
  HttpServer Server;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_HTTPAPI_H
