#include "configuration/configstate.h"

#include "configuration/internal/configcache.h"
#include "configuration/internal/configrecords.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace {

ChunkFile makeChunkFile(const ConfigState &State, const std::string &Name,
                        const FileChange &LastChange) {
  const auto It = State.Files.find(Name);
  if (It == State.Files.end())
    return {Name, std::nullopt, LastChange};
  return {Name, It->second, LastChange};
}

FileUpdates fileUpdates(const ConfigChunk &Chunk) {
  FileUpdates Updates;
  for (const ChunkFile &File : Chunk.Files)
    Updates[File.Name] = File.Text;
  return Updates;
}

void storeFile(ConfigState &State, const ChunkFile &File) {
  State.LastChanges[File.Name] = File.LastChange;
  if (File.Text)
    State.Files[File.Name] = *File.Text;
  else
    State.Files.erase(File.Name);
}

} // namespace

ConfigChunk collectChanges(const ConfigState &State, uint64_t BaseRevision) {
  ConfigChunk Chunk;
  Chunk.IsFull = BaseRevision < State.OldestKnownRevision || BaseRevision == 0;
  Chunk.BaseRevision = Chunk.IsFull ? 0 : BaseRevision;
  Chunk.Revision = State.Revision;
  Chunk.OldestKnownRevision = State.OldestKnownRevision;
  for (const auto &[Name, LastChange] : State.LastChanges)
    if (LastChange.Revision > Chunk.BaseRevision)
      Chunk.Files.push_back(makeChunkFile(State, Name, LastChange));
  std::ranges::copy_if(State.History, std::back_inserter(Chunk.History),
                       [&Chunk](const ChangeRecord &Record) {
                         return Record.Revision > Chunk.BaseRevision;
                       });
  return Chunk;
}

Result<Done> applyChunk(ConfigState &State, const ConfigChunk &Chunk) {
  if (Chunk.Revision <= State.Revision)
    return Done{};
  if (!Chunk.IsFull && Chunk.BaseRevision > State.Revision)
    return Error{ErrorKind::Conflict,
                 "the changes start after revision " +
                     std::to_string(Chunk.BaseRevision) + ", but revision " +
                     std::to_string(State.Revision) + " is in force",
                 "fetch the changes since the revision in force"};
  Result<ConfigCache> Cache = buildCache(
      Chunk.IsFull ? ConfigCache{} : State.Cache, fileUpdates(Chunk));
  if (isError(Cache))
    return Error{ErrorKind::CorruptData,
                 "the configuration received from a peer is not valid: " +
                     describe(errorOf(Cache)),
                 "check that all VMs run the same version"};
  if (Chunk.IsFull) {
    State.Files.clear();
    State.LastChanges.clear();
    State.OldestKnownRevision = Chunk.OldestKnownRevision;
  }
  for (const ChunkFile &File : Chunk.Files)
    storeFile(State, File);
  std::ranges::copy_if(Chunk.History, std::back_inserter(State.History),
                       [&State](const ChangeRecord &Record) {
                         return Record.Revision > State.Revision;
                       });
  State.Revision = Chunk.Revision;
  State.Cache = takeValue(std::move(Cache));
  trimRecords(State);
  return Done{};
}

} // namespace sapphiremoor
