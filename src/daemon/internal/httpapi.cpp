#include "daemon/httpapi.h"

#include "daemon/internal/configjson.h"
#include "framework/eventlog/eventlog.h"
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

HttpLimits limitsOf(const Settings &Of) {
  HttpLimits Limits;
  Limits.HeaderBytes = Of.Limits.HeaderBytes;
  Limits.BodyBytes = Of.Limits.BodyBytes;
  Limits.RequestTimeout = Of.Limits.HeaderTimeout;
  return Limits;
}

HttpResponse formatReply(const std::string &Key, const JobReplyBody &Body) {
  if (const auto *Result = std::get_if<Answer>(&Body))
    return formatAnswer(Key, *Result);
  if (const auto *Failure = std::get_if<Error>(&Body))
    return formatError(*Failure);
  return formatError({ErrorKind::Internal, "a redirect was not followed",
                      "report this as a bug"});
}

int64_t millisSinceEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

HttpApi::HttpApi(EventLoop &Loop, const Settings &Of, TokenTable Tokens,
                 KeyCodec &Keys, Services Parts)
    : Loop(Loop), Of(Of), Tokens(std::move(Tokens)), Keys(Keys), Parts(Parts),
      Server(Loop, limitsOf(Of),
             [this](HttpRequest Request, const Responder &Answer) {
               handle(std::move(Request), Answer);
             }) {}

Result<uint16_t> HttpApi::start() { return Server.listen(Of.Http); }

void HttpApi::reject(const Responder &Answer, const Error &Reason) {
  logEvent(events::RequestRejected, {{"error", describe(Reason)}});
  Answer.respond(formatError(Reason));
}

void HttpApi::handle(HttpRequest Request, const Responder &Answer) {
  const Result<Command> Routed = routeRequest(Request);
  if (isError(Routed)) {
    reject(Answer, errorOf(Routed));
    return;
  }
  const Result<Identity> Sender =
      authenticate(Tokens, Request.Token, requiredRole(valueOf(Routed)));
  if (isError(Sender)) {
    reject(Answer, errorOf(Sender));
    return;
  }
  const Call From{std::move(Request), valueOf(Sender), Answer};
  std::visit([&](const auto &What) { perform(From, What); }, valueOf(Routed));
}

Result<JobKey> HttpApi::keyOf(const Call &From, const std::string &Text) {
  Result<JobKey> Key = Keys.parse(Text);
  if (!isError(Key) && valueOf(Key).Prefix.Team != From.Sender.Name)
    return Error{ErrorKind::Forbidden, "the key belongs to another team",
                 "obtain a prefix with this team's token: POST /v1/prefixes"};
  return Key;
}

Result<JobRequest> HttpApi::jobOf(const Call &From, bool Single) const {
  if (Parts.Membership.draining())
    return Error{ErrorKind::Draining, "this VM is being stopped",
                 "send the request to another VM"};
  if (Parts.Config.revision() == 0)
    return Error{ErrorKind::Unreachable, "this VM has no configuration yet",
                 "send the request to another VM, or apply a configuration if "
                 "the deployment is new"};
  JobLimits Limits;
  Limits.MaxTasks = Of.Limits.MaxTasks;
  Result<JobRequest> Job = parseJobRequest(From.Request.Body, Single, Limits);
  if (isError(Job))
    return Job;
  JobRequest Checked = takeValue(std::move(Job));
  if (!Parts.Config.config().Services.contains(Checked.Service))
    return Error{ErrorKind::UnknownService,
                 "no service '" + Checked.Service.substr(0, 100) +
                     "' is configured",
                 "check its spelling with 'sapphiremoor config show'"};
  Checked.Team = From.Sender.Name;
  return Checked;
}

JobReplyHandler HttpApi::answering(const Call &From, const std::string &Key,
                                   std::optional<Duration> Wait) {
  const Responder Answer = From.Answer;
  std::shared_ptr<Timer> Pending;
  if (Wait) {
    Pending = std::make_shared<Timer>(
        Loop, [Answer, Key] { Answer.respond(formatPending(Key)); });
    Pending->start(*Wait);
  }
  return [Answer, Key, Pending](const JobReplyBody &Body) {
    if (Pending)
      Pending->cancel();
    Answer.respond(formatReply(Key, Body));
  };
}

JobReplyHandler HttpApi::recording(const JobRequest &Job,
                                   JobReplyHandler Answering) {
  JobRequest Counted;
  Counted.Team = Job.Team;
  Counted.Service = Job.Service;
  return [this, Counted = std::move(Counted), Since = Loop.now(),
          Answering = std::move(Answering)](const JobReplyBody &Body) {
    const Instant Now = Loop.now();
    Parts.Outcomes.record(Counted, Body, Parts.Config.config(), Now - Since,
                          Now);
    Answering(Body);
  };
}

void HttpApi::perform(const Call &From, const IssuePrefixCommand &) {
  if (Parts.Membership.draining()) {
    reject(From.Answer, {ErrorKind::Draining, "this VM is being stopped",
                         "send the request to another VM"});
    return;
  }
  Parts.Router.issuePrefix(
      From.Sender.Name, [this, Answer = From.Answer](const Prefix &Issued) {
        Json Body;
        Body["prefix"] = Keys.format(Issued);
        Answer.respond({200, Body.dump() + "\n", "application/json"});
      });
}

void HttpApi::perform(const Call &From, const SubmitCommand &What) {
  const Result<JobKey> Key = keyOf(From, What.Key);
  if (isError(Key)) {
    reject(From.Answer, errorOf(Key));
    return;
  }
  const Result<JobRequest> Job = jobOf(From, What.Single);
  if (isError(Job)) {
    reject(From.Answer, errorOf(Job));
    return;
  }
  Parts.Router.submit(
      valueOf(Key), valueOf(Job),
      recording(valueOf(Job), answering(From, What.Key, What.Wait)));
}

void HttpApi::perform(const Call &From, const RunIdempotentCommand &) {
  const Result<JobRequest> Job = jobOf(From, true);
  if (isError(Job)) {
    reject(From.Answer, errorOf(Job));
    return;
  }
  if (!Parts.Config.config().Services.at(valueOf(Job).Service).Idempotent) {
    reject(From.Answer,
           {ErrorKind::MissingKey,
            "the service is not idempotent, so its requests need a key",
            "obtain a prefix with POST /v1/prefixes and send the request to "
            "/v1/requests/PREFIX.NUMBER"});
    return;
  }
  Parts.Router.run(valueOf(Job),
                   recording(valueOf(Job), answering(From, "", std::nullopt)));
}

void HttpApi::perform(const Call &From, const FetchCommand &What) {
  const Result<JobKey> Key = keyOf(From, What.Key);
  if (isError(Key)) {
    reject(From.Answer, errorOf(Key));
    return;
  }
  Parts.Router.attach(valueOf(Key), false,
                      answering(From, What.Key, What.Wait));
}

void HttpApi::perform(const Call &From, const CancelCommand &What) {
  const Result<JobKey> Key = keyOf(From, What.Key);
  if (isError(Key)) {
    reject(From.Answer, errorOf(Key));
    return;
  }
  Parts.Router.attach(valueOf(Key), true,
                      answering(From, What.Key, std::nullopt));
}

void HttpApi::perform(const Call &From, const ShowStatusCommand &) {
  From.Answer.respond(
      {200, statusJson(Parts.Status, Loop.now()), "application/json"});
}

void HttpApi::perform(const Call &From, const ShowMetricsCommand &) {
  const char *Help = "Bytes on the links between VMs.";
  const PeerNetwork &Links = Parts.Router.links();
  Parts.Metrics.gauge("sapphiremoor_peer_bytes", Help, {{"direction", "sent"}})
      .set(static_cast<double>(Links.bytesSent()));
  Parts.Metrics
      .gauge("sapphiremoor_peer_bytes", Help, {{"direction", "received"}})
      .set(static_cast<double>(Links.bytesReceived()));
  Parts.Metrics.gauge("sapphiremoor_config_revision", "Configuration in force.")
      .set(static_cast<double>(Parts.Config.revision()));
  From.Answer.respond({200, Parts.Metrics.text(), "text/plain; version=0.0.4"});
}

void HttpApi::perform(const Call &From, const ShowBurnCommand &What) {
  const BurnReport Report =
      Parts.Outcomes.report(Parts.Config.config(), Loop.now());
  if (What.Format == "svg")
    From.Answer.respond({200, renderSvg(Report), "image/svg+xml"});
  else
    From.Answer.respond({200, renderJson(Report), "application/json"});
}

void HttpApi::perform(const Call &From, const ShowConfigCommand &What) {
  const ConfigState &State = Parts.Config.state();
  From.Answer.respond({200,
                       What.History ? historyJson(State) : filesJson(State),
                       "application/json"});
}

void HttpApi::perform(const Call &From, const ChangeConfigCommand &What) {
  ChangeFile Change;
  Change.RequestId = What.RequestId;
  Change.ExpectedRevision = What.ExpectedRevision;
  Change.Name = What.Name;
  if (!What.Remove)
    Change.Text = From.Request.Body;
  Change.Operator = From.Sender.Name;
  Change.ProposedMs = millisSinceEpoch();
  Parts.Config.change(
      Change, [Answer = From.Answer](const Result<ChangeResult> &Outcome) {
        Answer.respond(isError(Outcome) ? formatError(errorOf(Outcome))
                                        : changeResponse(valueOf(Outcome)));
      });
}

void HttpApi::perform(const Call &From, const ChangeVoterCommand &What) {
  Parts.Config.changeVoter(
      What.Name, What.Remove,
      [Answer = From.Answer](const Result<ChangeResult> &Outcome) {
        Answer.respond(isError(Outcome) ? formatError(errorOf(Outcome))
                                        : changeResponse(valueOf(Outcome)));
      });
}

void HttpApi::perform(const Call &From, const AnnounceCommand &What) {
  const Result<Announcement> Told =
      parseAnnouncement(What.Id, From.Request.Body);
  if (isError(Told)) {
    reject(From.Answer, errorOf(Told));
    return;
  }
  const Duration Next = Parts.Backends.announced(valueOf(Told));
  const Endpoint To = Parts.Backends.announceTo();
  Json Body;
  Body["next_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(Next).count();
  Body["announce_to"] = {{"address", To.Address}, {"port", To.Port}};
  From.Answer.respond({200, Body.dump() + "\n", "application/json"});
}

void HttpApi::perform(const Call &From, const LeaveCommand &What) {
  Parts.Backends.leaving(What.Id);
  From.Answer.respond({200, "{}\n", "application/json"});
}

void HttpApi::perform(const Call &From, const DrainCommand &What) {
  const Result<Done> Drained = Parts.Backends.drain(What.Id, What.Undo);
  if (isError(Drained))
    reject(From.Answer, errorOf(Drained));
  else
    From.Answer.respond({200, "{}\n", "application/json"});
}

} // namespace sapphiremoor
