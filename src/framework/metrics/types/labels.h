#ifndef SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H
#define SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H

#include <map>
#include <string>

namespace sapphiremoor {

/// Names and values that tell the metrics of one family apart. Values should
/// come from a small set: each combination is kept for the process's life.
using Labels = std::map<std::string, std::string>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_METRICS_TYPES_LABELS_H
