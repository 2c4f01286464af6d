#include "tests/soak/ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sapphiremoor::soak {

namespace {

std::string jobId(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

uint64_t configVersion(const std::string &Body) {
  const auto Root = nlohmann::json::parse(Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("version"))
    return 0;
  return Root["version"].get<uint64_t>();
}

} // namespace

void InvariantChecker::recordSubmission(const std::string &Job,
                                        unsigned TaskCount, bool Stored) {
  Jobs[Job].TaskCount = TaskCount;
  Jobs[Job].Stored = Stored;
}

bool InvariantChecker::recordJobState(const std::string &Job,
                                      const std::string &State) {
  JobRecord &Record = Jobs[Job];
  if (State.empty())
    addViolation("an accepted job is not known: " + Job);
  if (State == "done" && Record.DoneTasks.size() != Record.TaskCount)
    addViolation("said done with tasks that are not: " + Job);
  if (Record.Ended && State != "done" && State != "failed")
    addViolation("an ended job is " + State + ": " + Job);
  Record.Ended |= State == "done" || State == "failed";
  return Record.Ended;
}

bool InvariantChecker::allAcceptedJobsEnded() const {
  return std::ranges::all_of(Jobs, [](const auto &JobEntry) {
    return !JobEntry.second.Accepted || JobEntry.second.Ended;
  });
}

void InvariantChecker::checkAcceptedJobsEnded() {
  for (const auto &[Job, Record] : Jobs)
    if (Record.Accepted && !Record.Ended)
      addViolation("an accepted job has not ended: " + Job);
}

void InvariantChecker::recordRunStart(const std::string &Backend,
                                      const std::string &Task) {
  const auto JobIt = Jobs.find(jobId(Task));
  if (JobIt == Jobs.end()) {
    addViolation("started a task that nobody sent: " + Task);
    return;
  }
  JobIt->second.Started = true;
  if (JobIt->second.Stored && AcknowledgedEnds.contains(Task))
    addViolation("started again after its end was confirmed: " + Task);
  const auto [RunIt, Inserted] = RunningTasks.emplace(Task, Backend);
  if (!Inserted)
    addViolation("two runs of " + Task + " on " + RunIt->second + " and " +
                 Backend);
}

void InvariantChecker::recordRunEnd(const std::string &Backend,
                                    const std::string &Task, bool Succeeded) {
  const auto RunIt = RunningTasks.find(Task);
  if (RunIt != RunningTasks.end() && RunIt->second == Backend)
    RunningTasks.erase(RunIt);
  if (Succeeded)
    Jobs[jobId(Task)].DoneTasks.insert(Task);
}

void InvariantChecker::recordOvercommit(const std::string &Backend) {
  addViolation("over its capacity: " + Backend);
}

void InvariantChecker::recordResponse(const std::string &Job, int StatusCode,
                                      const std::string &Body) {
  constexpr int StatusOk = 200;
  constexpr int StatusNotRun = 503;
  JobRecord &Record = Jobs[Job];
  if (StatusCode == StatusOk && Record.Stored) {
    Record.Accepted = true;
  } else if (StatusCode == StatusOk && Body.find("done") != std::string::npos) {
    ++DoneCount;
    if (Record.DoneTasks.size() != Record.TaskCount)
      addViolation("said done with tasks that are not: " + Job);
  } else if (StatusCode == StatusNotRun) {
    ++RefusedCount;
    if (Record.Started && !Record.MayHaveStarted)
      addViolation("said not run, but it had: " + Job);
  } else {
    ++UnclearCount;
    Record.MayHaveStarted = true;
  }
}

void InvariantChecker::recordResponseTimeout(const std::string &Job,
                                             const std::string &Vm) {
  addViolation("no answer from the undisturbed " + Vm + " for " + Job);
}

void InvariantChecker::recordConfigAcknowledged(uint64_t Version,
                                                const std::string &Body) {
  AcknowledgedConfigs[Version] = Body;
  NewestVersion = std::max(NewestVersion, Version);
}

void InvariantChecker::recordConfigRead(uint64_t MinVersion,
                                        const std::string &Body) {
  const uint64_t Version = configVersion(Body);
  if (Version < MinVersion)
    addViolation("read version " + std::to_string(Version) + " after " +
                 std::to_string(MinVersion) + " was acknowledged");
}

} // namespace sapphiremoor::soak
