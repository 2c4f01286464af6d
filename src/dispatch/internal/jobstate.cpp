#include "dispatch/internal/jobstate.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

/// Stands for no deadline: a stored job runs however long it takes.
constexpr std::chrono::milliseconds StoredDeadline = std::chrono::years(1);

} // namespace

bool hasLabel(const BackendReport &Report, const std::string &Label) {
  return std::ranges::find(Report.Labels, Label) != Report.Labels.end();
}

bool canRun(const BackendReport &Report, const std::string &Service,
            const StepRequest &Step) {
  const bool LabelMatches =
      Step.RequiredLabel.empty() || hasLabel(Report, Step.RequiredLabel);
  return Report.Service == Service && LabelMatches &&
         fits(Step.Demand, Report.Capacity);
}

Duration criticalPath(const std::vector<StepRequest> &Steps) {
  std::vector<int64_t> EndMs;
  for (const StepRequest &Step : Steps) {
    int64_t StartMs = 0;
    for (const uint32_t Dependency : Step.DependsOn)
      StartMs = std::max(StartMs, EndMs[Dependency]);
    EndMs.push_back(StartMs + Step.EstimateMs);
  }
  return std::chrono::milliseconds(std::ranges::max(EndMs));
}

bool isReady(const JobState &Job, std::size_t Step) {
  return std::ranges::all_of(Job.Request.Steps[Step].DependsOn,
                             [&Job](uint32_t Dependency) {
                               return Job.Steps[Dependency].NotDone == 0;
                             });
}

bool isWellFormed(const std::vector<StepRequest> &Steps) {
  if (Steps.empty())
    return false;
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    const bool OnlyEarlierSteps = std::ranges::all_of(
        Steps[Index].DependsOn,
        [Index](uint32_t Dependency) { return Dependency < Index; });
    if (Steps[Index].Count == 0 || !OnlyEarlierSteps)
      return false;
  }
  return true;
}

JobState makeJobState(const JobSubmission &Request, uint64_t ArrivalNumber,
                      Instant Now) {
  JobState Job;
  Job.Request = Request;
  Job.Spec = std::make_shared<const std::string>(Request.Spec);
  Job.ArrivalNumber = ArrivalNumber;
  Job.ArrivedAt = Now;
  Job.Deadline =
      Now + (Request.Stored ? StoredDeadline
                            : std::chrono::milliseconds(Request.DeadlineMs));
  Job.CriticalPath = criticalPath(Request.Steps);
  Job.ObjectiveEnd = Now + std::chrono::milliseconds(Request.Policy.SlackMs) +
                     std::chrono::duration_cast<Duration>(
                         Request.Policy.Stretch * Job.CriticalPath);
  for (const StepRequest &Step : Request.Steps) {
    StepState State;
    State.Tasks.resize(Step.Count);
    State.NotDone = Step.Count;
    State.Waiting = Step.Count;
    Job.Steps.push_back(std::move(State));
  }
  return Job;
}

void restoreProgress(JobState &Job, const JobProgress &Progress) {
  Job.Started = Progress.Started;
  const std::size_t StepCount =
      std::min(Job.Steps.size(), Progress.Steps.size());
  for (std::size_t Step = 0; Step < StepCount; ++Step) {
    StepState &State = Job.Steps[Step];
    const std::vector<TaskProgress> &Saved = Progress.Steps[Step];
    const std::size_t TaskCount = std::min(State.Tasks.size(), Saved.size());
    for (std::size_t Index = 0; Index < TaskCount; ++Index) {
      TaskState &Task = State.Tasks[Index];
      Task.Failures = Saved[Index].Failures;
      Task.LastRun = Saved[Index].LastRun;
      Task.DoneRun = Saved[Index].DoneRun;
      if (Task.DoneRun == 0)
        continue;
      Task.Phase = TaskPhase::Done;
      --State.NotDone;
      --State.Waiting;
    }
  }
}

JobProgress captureProgress(const JobState &Job) {
  JobProgress Progress;
  Progress.Started = Job.Started;
  for (const StepState &Step : Job.Steps) {
    std::vector<TaskProgress> Tasks;
    std::ranges::transform(
        Step.Tasks, std::back_inserter(Tasks), [](const TaskState &Task) {
          return TaskProgress{Task.DoneRun, Task.Failures, Task.LastRun};
        });
    Progress.Steps.push_back(std::move(Tasks));
  }
  return Progress;
}

bool isComplete(const JobState &Job) {
  return std::ranges::all_of(
      Job.Steps, [](const StepState &Step) { return Step.NotDone == 0; });
}

bool isOrphaned(const JobState &Job) {
  return !Job.Request.Stored && Job.Sources.empty();
}

} // namespace sapphiremoor::detail
