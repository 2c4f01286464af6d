#include "daemon/httpapi.h"

#include "daemon/internal/configjson.h"
#include "framework/eventlog/eventlog.h"
#include "framework/metrics/processmemory.h"
#include "gateway/answerformat.h"
#include "gateway/route.h"
#include "leases/parseannouncement.h"
#include "servicelevel/render.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

HttpLimits makeHttpLimits(const Settings &VmSettings) {
  HttpLimits Limits;
  Limits.HeaderBytes = VmSettings.Limits.HeaderBytes;
  Limits.BodyBytes = VmSettings.Limits.BodyBytes;
  Limits.RequestTimeout = VmSettings.Limits.HeaderTimeout;
  return Limits;
}

HttpResponse formatReply(const std::string &Key, const JobReplyBody &Body) {
  if (const auto *Result = std::get_if<Answer>(&Body))
    return formatAnswer(Key, *Result);
  if (const auto *Failure = std::get_if<Error>(&Body))
    return formatError(*Failure);
  return formatError({ErrorKind::Internal,
                      "a redirect between VMs was not followed",
                      "report this as a bug"});
}

int64_t millisSinceEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

HttpApi::HttpApi(EventLoop &Loop, const Settings &VmSettings, TokenTable Tokens,
                 KeyCodec &Keys, ServiceRefs Services)
    : Loop(Loop), VmSettings(VmSettings), Tokens(std::move(Tokens)), Keys(Keys),
      Services(Services),
      Server(Loop, makeHttpLimits(VmSettings),
             [this](HttpRequest Request, const Responder &HttpResponder) {
               handle(std::move(Request), HttpResponder);
             }) {}

Result<uint16_t> HttpApi::start() { return Server.listen(VmSettings.Http); }

void HttpApi::reject(const Responder &HttpResponder, const Error &Reason) {
  logEvent(events::RequestRejected, {{"error", describe(Reason)}});
  HttpResponder.respond(formatError(Reason));
}

void HttpApi::handle(HttpRequest Request, const Responder &HttpResponder) {
  const Result<Command> ParsedCommand = routeRequest(Request);
  if (isError(ParsedCommand)) {
    reject(HttpResponder, errorOf(ParsedCommand));
    return;
  }
  const Result<Identity> Caller =
      authenticate(Tokens, Request.Token, requiredRole(valueOf(ParsedCommand)));
  if (isError(Caller)) {
    reject(HttpResponder, errorOf(Caller));
    return;
  }
  const ApiCall Call{std::move(Request), valueOf(Caller), HttpResponder};
  std::visit([&](const auto &Alternative) { perform(Call, Alternative); },
             valueOf(ParsedCommand));
}

Result<JobKey> HttpApi::parseCallerKey(const ApiCall &Call,
                                       const std::string &Text) {
  Result<JobKey> Key = Keys.parse(Text);
  if (!isError(Key) && valueOf(Key).Prefix.Team != Call.Caller.Name)
    return Error{ErrorKind::Forbidden, "the key belongs to another team",
                 "obtain a prefix with this team's token: POST /v1/prefixes"};
  return Key;
}

Result<JobRequest> HttpApi::parseJob(const ApiCall &Call, bool Single) const {
  if (Services.Membership.isDraining())
    return Error{ErrorKind::Draining, "this VM is shutting down",
                 "send the request to another VM"};
  if (Services.Config.revision() == 0)
    return Error{ErrorKind::Unreachable, "this VM has no configuration yet",
                 "send the request to another VM, or apply a configuration if "
                 "the deployment is new"};
  JobLimits Limits;
  Limits.MaxTasks = VmSettings.Limits.MaxTasks;
  Result<JobRequest> Job = parseJobRequest(Call.Request.Body, Single, Limits);
  if (isError(Job))
    return Job;
  JobRequest ValidJob = takeValue(std::move(Job));
  if (!Services.Config.config().Services.contains(ValidJob.Service))
    return Error{ErrorKind::UnknownService,
                 "no service '" + ValidJob.Service.substr(0, 100) +
                     "' is configured",
                 "check its spelling with 'sapphiremoor config show'"};
  ValidJob.Team = Call.Caller.Name;
  return ValidJob;
}

JobReplyHandler HttpApi::makeAnswerHandler(const ApiCall &Call,
                                           const std::string &Key,
                                           std::optional<Duration> Wait) {
  const Responder HttpResponder = Call.HttpResponder;
  std::shared_ptr<Timer> PendingTimer;
  if (Wait) {
    PendingTimer = std::make_shared<Timer>(Loop, [HttpResponder, Key] {
      HttpResponder.respond(formatPending(Key));
    });
    PendingTimer->start(*Wait);
  }
  return [HttpResponder, Key, PendingTimer](const JobReplyBody &Body) {
    if (PendingTimer)
      PendingTimer->cancel();
    HttpResponder.respond(formatReply(Key, Body));
  };
}

JobReplyHandler HttpApi::makeRecordingHandler(const JobRequest &Job,
                                              JobReplyHandler Handler) {
  JobRequest CountedJob;
  CountedJob.Team = Job.Team;
  CountedJob.Service = Job.Service;
  return [this, CountedJob = std::move(CountedJob), StartedAt = Loop.now(),
          Handler = std::move(Handler)](const JobReplyBody &Body) {
    const Instant Now = Loop.now();
    Services.Outcomes.record(CountedJob, Body, Services.Config.config(),
                             Now - StartedAt, Now);
    Handler(Body);
  };
}

void HttpApi::perform(const ApiCall &Call, const IssuePrefixCommand &) {
  if (Services.Membership.isDraining()) {
    reject(Call.HttpResponder, {ErrorKind::Draining, "this VM is shutting down",
                                "send the request to another VM"});
    return;
  }
  Services.Router.issuePrefix(
      Call.Caller.Name,
      [this, HttpResponder = Call.HttpResponder](const Prefix &IssuedPrefix) {
        Json Body;
        Body["prefix"] = Keys.format(IssuedPrefix);
        HttpResponder.respond({200, Body.dump() + "\n", "application/json"});
      });
}

void HttpApi::perform(const ApiCall &Call, const SubmitCommand &Command) {
  const Result<JobKey> Key = parseCallerKey(Call, Command.Key);
  if (isError(Key)) {
    reject(Call.HttpResponder, errorOf(Key));
    return;
  }
  const Result<JobRequest> Job = parseJob(Call, Command.Single);
  if (isError(Job)) {
    reject(Call.HttpResponder, errorOf(Job));
    return;
  }
  Services.Router.submit(
      valueOf(Key), valueOf(Job),
      makeRecordingHandler(valueOf(Job),
                           makeAnswerHandler(Call, Command.Key, Command.Wait)));
}

void HttpApi::perform(const ApiCall &Call, const RunIdempotentCommand &) {
  const Result<JobRequest> Job = parseJob(Call, true);
  if (isError(Job)) {
    reject(Call.HttpResponder, errorOf(Job));
    return;
  }
  if (!Services.Config.config().Services.at(valueOf(Job).Service).Idempotent) {
    reject(Call.HttpResponder,
           {ErrorKind::MissingKey,
            "the service is not idempotent, so its requests need a key",
            "obtain a prefix with POST /v1/prefixes and send the request to "
            "/v1/requests/PREFIX.NUMBER"});
    return;
  }
  Services.Router.run(
      valueOf(Job),
      makeRecordingHandler(valueOf(Job),
                           makeAnswerHandler(Call, "", std::nullopt)));
}

void HttpApi::perform(const ApiCall &Call, const FetchCommand &Command) {
  const Result<JobKey> Key = parseCallerKey(Call, Command.Key);
  if (isError(Key)) {
    reject(Call.HttpResponder, errorOf(Key));
    return;
  }
  Services.Router.attach(valueOf(Key), false,
                         makeAnswerHandler(Call, Command.Key, Command.Wait));
}

void HttpApi::perform(const ApiCall &Call, const CancelCommand &Command) {
  const Result<JobKey> Key = parseCallerKey(Call, Command.Key);
  if (isError(Key)) {
    reject(Call.HttpResponder, errorOf(Key));
    return;
  }
  Services.Router.attach(valueOf(Key), true,
                         makeAnswerHandler(Call, Command.Key, std::nullopt));
}

void HttpApi::perform(const ApiCall &Call, const ShowStatusCommand &) {
  Call.HttpResponder.respond(
      {200, statusJson(Services.Status, Loop.now()), "application/json"});
}

void HttpApi::perform(const ApiCall &Call, const ShowMetricsCommand &) {
  recordProcessMemory(Services.Metrics);
  const char *Help = "Bytes on the links between VMs.";
  const PeerNetwork &Network = Services.Router.network();
  Services.Metrics
      .gauge("sapphiremoor_peer_bytes", Help, {{"direction", "sent"}})
      .set(static_cast<double>(Network.bytesSent()));
  Services.Metrics
      .gauge("sapphiremoor_peer_bytes", Help, {{"direction", "received"}})
      .set(static_cast<double>(Network.bytesReceived()));
  Services.Metrics
      .gauge("sapphiremoor_config_revision", "Configuration in force.")
      .set(static_cast<double>(Services.Config.revision()));
  Call.HttpResponder.respond(
      {200, Services.Metrics.text(), "text/plain; version=0.0.4"});
}

void HttpApi::perform(const ApiCall &Call, const ShowBurnCommand &Command) {
  const BurnReport Report =
      Services.Outcomes.report(Services.Config.config(), Loop.now());
  if (Command.Format == "svg")
    Call.HttpResponder.respond({200, renderSvg(Report), "image/svg+xml"});
  else
    Call.HttpResponder.respond({200, renderJson(Report), "application/json"});
}

void HttpApi::perform(const ApiCall &Call, const ShowConfigCommand &Command) {
  const ConfigState &State = Services.Config.state();
  Call.HttpResponder.respond(
      {200, Command.History ? historyJson(State) : filesJson(State),
       "application/json"});
}

void HttpApi::perform(const ApiCall &Call, const ChangeConfigCommand &Command) {
  ChangeFile Change;
  Change.RequestId = Command.RequestId;
  Change.ExpectedRevision = Command.ExpectedRevision;
  Change.Name = Command.Name;
  if (!Command.Remove)
    Change.Text = Call.Request.Body;
  Change.Operator = Call.Caller.Name;
  Change.ProposedMs = millisSinceEpoch();
  Services.Config.change(Change, [HttpResponder = Call.HttpResponder](
                                     const Result<ChangeResult> &Outcome) {
    HttpResponder.respond(isError(Outcome) ? formatError(errorOf(Outcome))
                                           : changeResponse(valueOf(Outcome)));
  });
}

void HttpApi::perform(const ApiCall &Call, const ChangeVoterCommand &Command) {
  Services.Config.changeVoter(
      Command.Name, Command.Remove,
      [HttpResponder =
           Call.HttpResponder](const Result<ChangeResult> &Outcome) {
        HttpResponder.respond(isError(Outcome)
                                  ? formatError(errorOf(Outcome))
                                  : changeResponse(valueOf(Outcome)));
      });
}

void HttpApi::perform(const ApiCall &Call, const AnnounceCommand &Command) {
  const Result<Announcement> Parsed =
      parseAnnouncement(Command.Id, Call.Request.Body);
  if (isError(Parsed)) {
    reject(Call.HttpResponder, errorOf(Parsed));
    return;
  }
  const Duration NextInterval =
      Services.Backends.handleAnnouncement(valueOf(Parsed));
  const Endpoint Target = Services.Backends.announcementEndpoint();
  Json Body;
  Body["next_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(NextInterval)
          .count();
  Body["announce_to"] = {{"address", Target.Address}, {"port", Target.Port}};
  Call.HttpResponder.respond({200, Body.dump() + "\n", "application/json"});
}

void HttpApi::perform(const ApiCall &Call, const LeaveCommand &Command) {
  Services.Backends.handleLeave(Command.Id);
  Call.HttpResponder.respond({200, "{}\n", "application/json"});
}

void HttpApi::perform(const ApiCall &Call, const DrainCommand &Command) {
  const Result<Done> Outcome =
      Services.Backends.drain(Command.Id, Command.Undo);
  if (isError(Outcome))
    reject(Call.HttpResponder, errorOf(Outcome));
  else
    Call.HttpResponder.respond({200, "{}\n", "application/json"});
}

} // namespace sapphiremoor
