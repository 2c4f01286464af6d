#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGSTATE_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGSTATE_H

#include "configuration/types/changeresult.h"
#include "configuration/types/serviceconfig.h"
#include "configuration/types/servicefile.h"

#include <cereal/types/deque.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace sapphiremoor {

/// The last accepted change of one file, which may have removed it.
struct FileChange {
  uint64_t Revision = 0;
  std::string Operator;
  bool Removed = false;

  auto operator<=>(const FileChange &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Revision, Operator, Removed);
  }
};

/// An accepted change, as recorded in the history.
struct ChangeRecord {
  uint64_t Revision = 0;
  std::string Name;
  std::string Operator;
  std::string RequestId;
  bool Removed = false;
  /// Size of the new text.
  uint64_t Bytes = 0;
  int64_t ProposedMs = 0;

  auto operator<=>(const ChangeRecord &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Revision, Name, Operator, RequestId, Removed, Bytes, ProposedMs);
  }
};

/// A request and its result, kept so that a resend gets the same result.
struct DecidedRequest {
  std::string Operator;
  std::string RequestId;
  /// SHA-256 of the command's content. A request with the same id but other
  /// content is not a resend.
  std::string ContentDigest;
  ChangeResult Result;

  auto operator<=>(const DecidedRequest &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Operator, RequestId, ContentDigest, Result);
  }
};

/// Values derived from the files. They are neither stored nor compared.
struct ConfigCache {
  std::map<std::string, std::shared_ptr<const ServiceFile>> ParsedFiles;
  /// The configuration in force; empty at revision 0.
  ServiceConfig MergedConfig;

  std::strong_ordering operator<=>(const ConfigCache &) const {
    return std::strong_ordering::equal;
  }
  bool operator==(const ConfigCache &) const { return true; }
};

/// The replicated configuration: the files and the records that the decision on
/// a change depends on. Modify it only through applyChange() and applyChunk().
struct ConfigState {
  /// Text by file name.
  std::map<std::string, std::string> Files;
  /// Number of accepted changes.
  uint64_t Revision = 0;
  /// Last change by file name, including removed files.
  std::map<std::string, FileChange> LastChanges;
  /// Records of removals up to this revision may have been dropped, so the
  /// changes since an older revision are not fully known.
  uint64_t OldestKnownRevision = 0;
  /// Oldest first.
  std::deque<ChangeRecord> History;
  /// Oldest first.
  std::deque<DecidedRequest> DecidedRequests;
  ConfigCache Cache;

  auto operator<=>(const ConfigState &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Files, Revision, LastChanges, OldestKnownRevision, History,
       DecidedRequests);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGSTATE_H
