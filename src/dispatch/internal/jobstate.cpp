#include "dispatch/internal/jobstate.h"

#include <algorithm>

namespace sapphiremoor::detail {

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

JobState makeJob(const JobSubmission &Request, const JobSource &From,
                 uint64_t Arrival, Instant Now) {
  JobState Made;
  Made.Request = Request;
  Made.Spec = std::make_shared<const std::string>(Request.Spec);
  Made.Sources.push_back(From);
  Made.Arrival = Arrival;
  Made.Arrived = Now;
  Made.Deadline = Now + std::chrono::milliseconds(Request.DeadlineMs);
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

} // namespace sapphiremoor::detail
