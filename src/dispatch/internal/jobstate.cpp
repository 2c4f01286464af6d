#include "dispatch/internal/jobstate.h"

#include <algorithm>

namespace sapphiremoor::detail {

namespace {

/// A stored job has no deadline.
constexpr std::chrono::milliseconds StoredDeadline = std::chrono::years(1);

} // namespace

bool hasLabel(const BackendReport &Of, const std::string &Label) {
  return std::ranges::find(Of.Labels, Label) != Of.Labels.end();
}

bool couldRun(const BackendReport &At, const std::string &Service,
              const StepRequest &Step) {
  const bool Labelled =
      Step.RequiredLabel.empty() || hasLabel(At, Step.RequiredLabel);
  return At.Service == Service && Labelled && fits(Step.Need, At.Capacity);
}

Duration longestChain(const std::vector<StepRequest> &Steps) {
  std::vector<int64_t> EndMs;
  for (const StepRequest &Step : Steps) {
    int64_t StartMs = 0;
    for (const uint32_t Before : Step.DependsOn)
      StartMs = std::max(StartMs, EndMs[Before]);
    EndMs.push_back(StartMs + Step.EstimateMs);
  }
  return std::chrono::milliseconds(std::ranges::max(EndMs));
}

bool ready(const JobState &Of, std::size_t Step) {
  return std::ranges::all_of(
      Of.Request.Steps[Step].DependsOn,
      [&Of](uint32_t Before) { return Of.Steps[Before].NotDone == 0; });
}

bool wellFormed(const std::vector<StepRequest> &Steps) {
  if (Steps.empty())
    return false;
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    const bool Earlier =
        std::ranges::all_of(Steps[Index].DependsOn, [Index](uint32_t Before) {
          return Before < Index;
        });
    if (Steps[Index].Count == 0 || !Earlier)
      return false;
  }
  return true;
}

JobState makeJob(const JobSubmission &Request, uint64_t Arrival, Instant Now) {
  JobState Made;
  Made.Request = Request;
  Made.Spec = std::make_shared<const std::string>(Request.Spec);
  Made.Arrival = Arrival;
  Made.Arrived = Now;
  Made.Deadline =
      Now + (Request.Stored ? StoredDeadline
                            : std::chrono::milliseconds(Request.DeadlineMs));
  Made.Chain = longestChain(Request.Steps);
  Made.Objective =
      Now + std::chrono::milliseconds(Request.Policy.SlackMs) +
      std::chrono::duration_cast<Duration>(Request.Policy.Stretch * Made.Chain);
  for (const StepRequest &Step : Request.Steps) {
    StepState State;
    State.Tasks.resize(Step.Count);
    State.NotDone = Step.Count;
    State.Waiting = Step.Count;
    Made.Steps.push_back(std::move(State));
  }
  return Made;
}

void applyProgress(JobState &Of, const JobProgress &Progress) {
  Of.Started = Progress.Started;
  const std::size_t Steps = std::min(Of.Steps.size(), Progress.Steps.size());
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    StepState &State = Of.Steps[Step];
    const std::vector<TaskProgress> &Known = Progress.Steps[Step];
    const std::size_t Tasks = std::min(State.Tasks.size(), Known.size());
    for (std::size_t Index = 0; Index < Tasks; ++Index) {
      TaskState &Task = State.Tasks[Index];
      Task.Failures = Known[Index].Failures;
      Task.LastRun = Known[Index].LastRun;
      Task.DoneRun = Known[Index].DoneRun;
      if (Task.DoneRun == 0)
        continue;
      Task.Phase = TaskPhase::Done;
      --State.NotDone;
      --State.Waiting;
    }
  }
}

JobProgress progressOf(const JobState &Of) {
  JobProgress Told;
  Told.Started = Of.Started;
  for (const StepState &Step : Of.Steps) {
    std::vector<TaskProgress> Tasks;
    std::ranges::transform(
        Step.Tasks, std::back_inserter(Tasks), [](const TaskState &Task) {
          return TaskProgress{Task.DoneRun, Task.Failures, Task.LastRun};
        });
    Told.Steps.push_back(std::move(Tasks));
  }
  return Told;
}

bool complete(const JobState &Of) {
  return std::ranges::all_of(
      Of.Steps, [](const StepState &Step) { return Step.NotDone == 0; });
}

} // namespace sapphiremoor::detail
