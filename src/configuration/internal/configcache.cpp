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
                     " configuration files, allowed are " +
                     std::to_string(MaxFiles),
                 "remove files or join several into one"};
  const std::size_t Total =
      std::accumulate(Files.begin(), Files.end(), std::size_t{0},
                      [](std::size_t Sum, const auto &File) {
                        return Sum + File.first.size() + File.second->TextBytes;
                      });
  if (Total > MaxTotalBytes)
    return Error{ErrorKind::TooLarge,
                 "the configuration files have " + std::to_string(Total) +
                     " bytes together, allowed are " +
                     std::to_string(MaxTotalBytes) + " bytes",
                 "remove or shorten files"};
  return std::nullopt;
}

} // namespace

Result<ConfigCache> cacheWith(const ConfigCache &Cache,
                              const FileChanges &Changes) {
  ConfigCache Next{Cache.Parsed, {}};
  for (const auto &[Name, Text] : Changes) {
    if (!Text) {
      Next.Parsed.erase(Name);
      continue;
    }
    Result<ServiceFile> File = parseServiceFile(*Text, Name);
    if (isError(File))
      return errorOf(File);
    Next.Parsed[Name] =
        std::make_shared<const ServiceFile>(takeValue(std::move(File)));
  }
  if (const std::optional<Error> Oversize = checkSizes(Next.Parsed))
    return *Oversize;
  Result<ServiceConfig> Merged = mergeServiceFiles(Next.Parsed);
  if (isError(Merged))
    return errorOf(Merged);
  Next.Merged = takeValue(std::move(Merged));
  return Next;
}

} // namespace sapphiremoor
