#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_STORAGEREQUEST_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_STORAGEREQUEST_H

#include "framework/core/result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphiremoor {

/// Appends records; the first one must have the next index of the log.
struct AppendRecords {
  uint64_t FirstIndex = 0;
  std::vector<std::string> Records;
};

/// Removes the record \p FromIndex and all later ones.
struct TruncateRecords {
  uint64_t FromIndex = 0;
};

/// Replaces the state file. Of several replacements in one batch only the last
/// is written.
struct ReplaceState {
  std::string Bytes;
};

/// Replaces the snapshot file, then removes the records below
/// \p FirstKeptIndex. With \p DropAllRecords all records are removed and the
/// log continues at \p FirstKeptIndex.
struct ReplaceSnapshot {
  std::string Bytes;
  uint64_t FirstKeptIndex = 1;
  bool DropAllRecords = false;
};

using StorageAction =
    std::variant<AppendRecords, TruncateRecords, ReplaceState, ReplaceSnapshot>;

/// A request to the storage task. The reply carries the same number.
struct StorageRequest {
  uint64_t Number = 0;
  StorageAction Action;
};

/// The reply to one request: success if its effect is durable, or the error
/// after which this data folder cannot be used any more.
struct StorageReply {
  uint64_t Number = 0;
  Result<Done> Outcome;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_TYPES_STORAGEREQUEST_H
