#include "configuration/configstate.h"

#include "configuration/internal/configcache.h"
#include "configuration/internal/configrecords.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphiremoor {

namespace {

ChunkFile chunkFile(const ConfigState &State, const std::string &Name,
                    const FileChange &LastChange) {
  const auto Found = State.Files.find(Name);
  if (Found == State.Files.end())
    return {Name, std::nullopt, LastChange};
  return {Name, Found->second, LastChange};
}

FileChanges fileChanges(const ConfigChunk &Chunk) {
  FileChanges Changes;
  for (const ChunkFile &File : Chunk.Files)
    Changes[File.Name] = File.Text;
  return Changes;
}

void takeFile(ConfigState &State, const ChunkFile &File) {
  State.LastChanges[File.Name] = File.LastChange;
  if (File.Text)
    State.Files[File.Name] = *File.Text;
  else
    State.Files.erase(File.Name);
}

} // namespace

ConfigChunk changesSince(const ConfigState &State, uint64_t Revision) {
  ConfigChunk Chunk;
  Chunk.Whole = Revision < State.OldestKnown || Revision == 0;
  Chunk.Since = Chunk.Whole ? 0 : Revision;
  Chunk.Revision = State.Revision;
  Chunk.OldestKnown = State.OldestKnown;
  for (const auto &[Name, LastChange] : State.LastChanges)
    if (LastChange.Revision > Chunk.Since)
      Chunk.Files.push_back(chunkFile(State, Name, LastChange));
  std::ranges::copy_if(State.History, std::back_inserter(Chunk.History),
                       [&Chunk](const ChangeRecord &Record) {
                         return Record.Revision > Chunk.Since;
                       });
  return Chunk;
}

Result<Done> adoptChunk(ConfigState &State, const ConfigChunk &Chunk) {
  if (Chunk.Revision <= State.Revision)
    return Done{};
  if (!Chunk.Whole && Chunk.Since > State.Revision)
    return Error{ErrorKind::Conflict,
                 "the changes start after revision " +
                     std::to_string(Chunk.Since) + ", but revision " +
                     std::to_string(State.Revision) + " is in force",
                 "fetch the changes since the revision in force"};
  Result<ConfigCache> Cache =
      cacheWith(Chunk.Whole ? ConfigCache{} : State.Cache, fileChanges(Chunk));
  if (isError(Cache))
    return Error{ErrorKind::CorruptData,
                 "a peer's configuration is not valid here: " +
                     describe(errorOf(Cache)),
                 "check that all VMs run the same version"};
  if (Chunk.Whole) {
    State.Files.clear();
    State.LastChanges.clear();
    State.OldestKnown = Chunk.OldestKnown;
  }
  for (const ChunkFile &File : Chunk.Files)
    takeFile(State, File);
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
