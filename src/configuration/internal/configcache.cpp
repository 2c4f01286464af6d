#include "configuration/internal/configcache.h"

#include "configuration/servicefiles.h"

#include <numeric>
#include <utility>

namespace sapphiremoor {

namespace {

std::optional<Error> checkSizes(const ServiceFiles &Files) {
  if (Files.size() > MaxFiles)
    return Error{ErrorKind::TooLarge,
                 std::to_string(Files.size()) +
                     " configuration files, but at most " +
                     std::to_string(MaxFiles) + " are allowed",
                 "remove files or join several into one"};
  const std::size_t TotalBytes =
      std::accumulate(Files.begin(), Files.end(), std::size_t{0},
                      [](std::size_t Sum, const auto &File) {
                        return Sum + File.first.size() + File.second->TextBytes;
                      });
  if (TotalBytes > MaxTotalBytes)
    return Error{ErrorKind::TooLarge,
                 "the configuration files have " + std::to_string(TotalBytes) +
                     " bytes in total, but at most " +
                     std::to_string(MaxTotalBytes) + " bytes are allowed",
                 "remove or shorten files"};
  return std::nullopt;
}

} // namespace

Result<ConfigCache> buildCache(const ConfigCache &PreviousCache,
                               const FileUpdates &Updates) {
  ConfigCache NewCache{PreviousCache.ParsedFiles, {}};
  for (const auto &[Name, Text] : Updates) {
    if (!Text) {
      NewCache.ParsedFiles.erase(Name);
      continue;
    }
    Result<ServiceFile> File = parseServiceFile(*Text, Name);
    if (isError(File))
      return errorOf(File);
    NewCache.ParsedFiles[Name] =
        std::make_shared<const ServiceFile>(takeValue(std::move(File)));
  }
  if (const std::optional<Error> SizeError = checkSizes(NewCache.ParsedFiles))
    return *SizeError;
  Result<ServiceConfig> Merged = mergeServiceFiles(NewCache.ParsedFiles);
  if (isError(Merged))
    return errorOf(Merged);
  NewCache.MergedConfig = takeValue(std::move(Merged));
  return NewCache;
}

} // namespace sapphiremoor
