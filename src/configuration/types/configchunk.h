#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGCHUNK_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGCHUNK_H

#include "configuration/types/configstate.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// One file as of a revision.
struct ChunkFile {
  std::string Name;
  /// Absent if the file was removed.
  std::optional<std::string> Text;
  FileChange LastChange;

  auto operator<=>(const ChunkFile &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Name, Text, LastChange);
  }
};

/// What a VM that is behind lacks: the files changed since a revision, or all.
struct ConfigChunk {
  /// True if Files is the whole configuration.
  bool IsFull = false;
  /// The revision that the files are relative to; 0 if Whole.
  uint64_t BaseRevision = 0;
  /// The revision that the receiver reaches.
  uint64_t Revision = 0;
  uint64_t OldestKnownRevision = 0;
  std::vector<ChunkFile> Files;
  /// The history records newer than Since.
  std::vector<ChangeRecord> History;

  auto operator<=>(const ConfigChunk &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(IsFull, BaseRevision, Revision, OldestKnownRevision, Files, History);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGCHUNK_H
