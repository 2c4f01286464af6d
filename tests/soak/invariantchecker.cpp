#include "tests/soak/invariantchecker.h"

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
    addViolation("accepted job is unknown: " + Job);
  if (State == "done" && Record.DoneTasks.size() != Record.TaskCount)
    addViolation("answered done, but not all tasks are done: " + Job);
  if (Record.Ended && State != "done" && State != "failed")
    addViolation("job that has ended is reported as " + State + ": " + Job);
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
      addViolation("accepted job has not ended in time: " + Job);
}

void InvariantChecker::recordRunStart(const std::string &Backend,
                                      const std::string &Task) {
  const auto JobIt = Jobs.find(jobId(Task));
  if (JobIt == Jobs.end()) {
    addViolation("started a task that was never submitted: " + Task);
    return;
  }
  JobIt->second.Started = true;
  if (JobIt->second.Stored && AcknowledgedEnds.contains(Task))
    addViolation("task started again after its end was acknowledged: " + Task);
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
  addViolation("runs exceed the CPU capacity of backend server " + Backend);
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
      addViolation("answered done, but not all tasks are done: " + Job);
  } else if (StatusCode == StatusNotRun) {
    ++RefusedCount;
    if (Record.Started && !Record.MayHaveStarted)
      addViolation("answered not run, but a task had started: " + Job);
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
    addViolation("configuration read returned version " +
                 std::to_string(Version) + " after version " +
                 std::to_string(MinVersion) + " was acknowledged");
}

} // namespace sapphiremoor::soak
