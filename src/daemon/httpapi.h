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
  struct Services {
    JobRouter &Router;
    BackendRegistry &Backends;
    ConfigService &Config;
    MembershipService &Membership;
    Registry &Metrics;
    OutcomeRecorder &Outcomes;
    StatusSources Status;
  };

  HttpApi(EventLoop &Loop, const Settings &Of, TokenTable Tokens,
          KeyCodec &Keys, Services Parts);

  Result<uint16_t> start();

  /// Stops accepting connections.
  void stopListening() { Server.stopListening(); }
  std::size_t openRequests() const { return Server.openRequests(); }

private:
  /// One checked request with the means to answer it.
  struct Call {
    HttpRequest Request;
    Identity Sender;
    Responder Answer;
  };

  void handle(HttpRequest Request, const Responder &Answer);
  void perform(const Call &From, const IssuePrefixCommand &What);
  void perform(const Call &From, const SubmitCommand &What);
  void perform(const Call &From, const RunIdempotentCommand &What);
  void perform(const Call &From, const FetchCommand &What);
  void perform(const Call &From, const CancelCommand &What);
  void perform(const Call &From, const ShowStatusCommand &What);
  void perform(const Call &From, const ShowMetricsCommand &What);
  void perform(const Call &From, const ShowBurnCommand &What);
  void perform(const Call &From, const ShowConfigCommand &What);
  void perform(const Call &From, const ChangeConfigCommand &What);
  void perform(const Call &From, const ChangeVoterCommand &What);
  void perform(const Call &From, const AnnounceCommand &What);
  void perform(const Call &From, const LeaveCommand &What);
  void perform(const Call &From, const DrainCommand &What);

  void reject(const Responder &Answer, const Error &Reason);
  Result<JobKey> keyOf(const Call &From, const std::string &Text);
  Result<JobRequest> jobOf(const Call &From, bool Single) const;
  /// Returns a handler that counts the outcome of \p Job and answers \p From.
  JobReplyHandler recording(const JobRequest &Job, JobReplyHandler Answering);
  /// Returns a handler that answers \p From, with 202 once \p Wait is over.
  JobReplyHandler answering(const Call &From, const std::string &Key,
                            std::optional<Duration> Wait);

  EventLoop &Loop;
  const Settings &Of;
  TokenTable Tokens;
  KeyCodec &Keys;
  Services Parts;
  HttpServer Server;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_HTTPAPI_H
