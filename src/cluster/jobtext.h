#ifndef SAPPHIREMOOR_CLUSTER_JOBTEXT_H
#define SAPPHIREMOOR_CLUSTER_JOBTEXT_H

#include "dispatch/types/dispatcheffect.h"

#include <string_view>

namespace sapphiremoor {

/// Returns the name of \p Result for log fields, for example "not_run".
std::string_view resultName(JobResult Result);

/// Returns the name of \p Reason for log fields, for example "overloaded".
std::string_view reasonName(JobReason Reason);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_JOBTEXT_H
