#ifndef SAPPHIREMOOR_CLUSTER_LIFENUMBER_H
#define SAPPHIREMOOR_CLUSTER_LIFENUMBER_H

#include <cstdint>
#include <string>

namespace sapphiremoor {

/// Counts the starts of the process that uses \p DataFolder. The number is
/// durable when this returns, so the next process gets another one. If the
/// folder cannot be used, which is logged, the number is random.
uint32_t takeLifeNumber(const std::string &DataFolder);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLUSTER_LIFENUMBER_H
