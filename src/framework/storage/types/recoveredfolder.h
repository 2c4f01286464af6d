#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_RECOVEREDFOLDER_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_RECOVEREDFOLDER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// Content of a data folder at the time of opening.
struct RecoveredFolder {
  /// Random identifier generated when the folder is first used. A wiped folder
  /// gets a new one.
  uint64_t Identity = 0;
  /// Index of Records[0], or of the next record if there is none.
  uint64_t FirstIndex = 1;
  std::vector<std::string> Records;
  /// Size of an incomplete last append that was removed.
  std::size_t TruncatedBytes = 0;
  std::optional<std::string> Snapshot;
  std::optional<std::string> State;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_RECOVEREDFOLDER_H
