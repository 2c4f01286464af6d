#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H

#include <map>
#include <string>

namespace sapphiremoor {

/// Label names and values that distinguish the metrics of one family. Values
/// should come from a small set, because each combination is kept until the
/// process ends.
using Labels = std::map<std::string, std::string>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H
