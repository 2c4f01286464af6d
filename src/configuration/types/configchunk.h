#ifndef SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGCHUNK_H
#define SAPPHIREMOOR_CONFIGURATION_TYPES_CONFIGCHUNK_H

#include "configuration/types/configstate.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphiremoor {

/// A file as of the revision of a chunk.
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

/// An update for a VM that is behind: the files changed since a revision, or
/// all files.
struct ConfigChunk {
  /// True if Files contains the whole configuration.
  bool IsFull = false;
  /// The chunk contains the changes after this revision; 0 if IsFull.
  uint64_t BaseRevision = 0;
  /// The receiver's revision after it has applied the chunk.
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
