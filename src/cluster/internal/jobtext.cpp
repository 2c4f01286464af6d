#include "cluster/jobtext.h"

namespace sapphiremoor {

std::string_view resultName(JobResult Result) {
  switch (Result) {
  case JobResult::Done:
    return "done";
  case JobResult::Failed:
    return "failed";
  case JobResult::NotRun:
    return "not_run";
  case JobResult::GivenUp:
    return "given_up";
  case JobResult::Accepted:
    return "accepted";
  }
  return "given_up";
}

std::string_view reasonName(JobReason Reason) {
  switch (Reason) {
  case JobReason::None:
    return "none";
  case JobReason::Overloaded:
    return "overloaded";
  case JobReason::Impossible:
    return "impossible";
  case JobReason::DeadlinePassed:
    return "deadline_passed";
  case JobReason::TaskFailed:
    return "task_failed";
  case JobReason::Cancelled:
    return "cancelled";
  case JobReason::Redirected:
    return "redirected";
  case JobReason::CallerGone:
    return "caller_gone";
  }
  return "none";
}

} // namespace sapphiremoor
