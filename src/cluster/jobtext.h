#ifndef SAPPHIREMOOR_CLUSTER_JOBTEXT_H
#define SAPPHIREMOOR_CLUSTER_JOBTEXT_H

#include "dispatch/types/dispatcheffect.h"

#include <string_view>

namespace sapphiremoor {

/// Returns the name of \p Result in logs, for example "not_run".
std::string_view resultName(JobResult Result);

/// Returns the name of \p Reason in logs, for example "overloaded".
std::string_view reasonName(JobReason Reason);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_JOBTEXT_H
