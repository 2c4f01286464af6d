#include "daemon/outcomerecorder.h"

#include "gateway/answerformat.h"
#include "servicelevel/burn.h"
#include "servicelevel/outcomes.h"

namespace sapphiremoor {

namespace {

RequestOutcome classifyAnswer(const Answer &Result, const Objectives &Objective,
                              Duration Latency) {
  switch (Result.JobOutcome) {
  case Outcome::Complete:
    return classifyLatency(Objective, Latency);
  case Outcome::Failed:
    return RequestOutcome::Failed;
  case Outcome::NotRun:
    return RequestOutcome::Refused;
  case Outcome::Unknown:
    return RequestOutcome::Unknown;
  }
  return RequestOutcome::Unknown;
}

} // namespace

OutcomeRecorder::OutcomeRecorder(std::string VmName, Registry &Metrics)
    : VmName(std::move(VmName)), Metrics(Metrics) {}

void OutcomeRecorder::record(const JobRequest &Job, const JobReplyBody &Body,
                             const ServiceConfig &Config, Duration Latency,
                             Instant Now) {
  const auto *Result = std::get_if<Answer>(&Body);
  const auto ServiceIt = Config.Services.find(Job.Service);
  if (Result == nullptr || ServiceIt == Config.Services.end())
    return;
  recordOutcome(State, Job.Service, Job.Team,
                classifyAnswer(*Result, ServiceIt->second.Objectives, Latency),
                Latency, toMinute(Now));
  Metrics
      .counter("sapphiremoor_jobs_total", "Jobs and requests answered.",
               {{"service", Job.Service},
                {"outcome", std::string(outcomeName(Result->JobOutcome))}})
      .add();
  Metrics
      .histogram("sapphiremoor_job_seconds",
                 "Time from a request to its answer.",
                 {{"service", Job.Service}})
      .record(Latency);
}

BurnReport OutcomeRecorder::report(const ServiceConfig &Config,
                                   Instant Now) const {
  BurnReport Report = buildReport(State, Config, toMinute(Now));
  Report.Vms = {VmName};
  return Report;
}

} // namespace sapphiremoor
