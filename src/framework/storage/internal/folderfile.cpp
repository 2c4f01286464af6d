#include "framework/storage/internal/folderfile.h"
#include "framework/storage/internal/recordformat.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>

namespace sapphiremoor::detail {

namespace {

constexpr std::string_view SealMagic = "SMFILE01";
constexpr std::size_t SealSize = 12;

/// Closes a descriptor at the end of a scope.
struct DescriptorGuard {
  const FileOperations &Files;
  int Descriptor;

  DescriptorGuard(const FileOperations &Files, int Descriptor)
      : Files(Files), Descriptor(Descriptor) {}
  DescriptorGuard(const DescriptorGuard &) = delete;
  DescriptorGuard &operator=(const DescriptorGuard &) = delete;
  ~DescriptorGuard() { Files.Close(Descriptor); }
};

Result<Done> syncFolder(const FileOperations &Files,
                        const std::string &Folder) {
  const int Descriptor = Files.Open(Folder, O_RDONLY | O_DIRECTORY);
  if (Descriptor < 0)
    return storageFailure("open folder", Folder);
  const DescriptorGuard Guard(Files, Descriptor);
  if (Files.Fsync(Descriptor) != 0)
    return storageFailure("fsync folder", Folder);
  return Done{};
}

Result<Done> writeSynced(const FileOperations &Files, const std::string &Path,
                         std::string_view Bytes) {
  const int Descriptor = Files.Open(Path, O_WRONLY | O_CREAT | O_TRUNC);
  if (Descriptor < 0)
    return storageFailure("create", Path);
  const DescriptorGuard Guard(Files, Descriptor);
  Result<Done> Written = writeAll(Files, Descriptor, Bytes, Path);
  if (isError(Written))
    return Written;
  if (Files.Fsync(Descriptor) != 0)
    return storageFailure("fsync", Path);
  return Done{};
}

} // namespace

Error storageFailure(std::string_view Step, const std::string &Path) {
  const int Code = errno;
  return {ErrorKind::StorageFailure,
          std::string(Step) + " of " + Path + " failed: " +
              (Code == 0 ? "nothing was written" : std::strerror(Code)),
          "free or replace the disk, remove the data folder and start again; "
          "then exchange this voter with \"config voters replace\""};
}

Error corruptData(const std::string &Path, std::string_view Why) {
  return {ErrorKind::CorruptData, Path + " is corrupt: " + std::string(Why),
          "check the disk, move the whole data folder away and start again; "
          "then exchange this voter with \"config voters replace\""};
}

Result<std::optional<std::string>> readWholeFile(const std::string &Path) {
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0) {
    if (errno == ENOENT)
      return std::optional<std::string>();
    return storageFailure("stat", Path);
  }
  std::ifstream File(Path, std::ios::binary);
  std::string Bytes(static_cast<std::size_t>(Status.st_size), '\0');
  File.read(Bytes.data(), Status.st_size);
  if (!File || File.gcount() != Status.st_size)
    return storageFailure("read", Path);
  return std::optional<std::string>(std::move(Bytes));
}

Result<Done> writeAll(const FileOperations &Files, int Descriptor,
                      std::string_view Bytes, const std::string &Path) {
  while (!Bytes.empty()) {
    errno = 0;
    const ssize_t Size = Files.Write(Descriptor, Bytes.data(), Bytes.size());
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size <= 0)
      return storageFailure("write", Path);
    Bytes.remove_prefix(static_cast<std::size_t>(Size));
  }
  return Done{};
}

Result<Done> replaceFile(const FileOperations &Files, const std::string &Folder,
                         const std::string &Name, std::string_view Bytes) {
  const std::string Path = Folder + "/" + Name;
  const std::string Temporary = Path + ".tmp";
  Result<Done> Written = writeSynced(Files, Temporary, Bytes);
  if (isError(Written))
    return Written;
  if (Files.Rename(Temporary, Path) != 0)
    return storageFailure("rename", Temporary);
  return syncFolder(Files, Folder);
}

std::string sealFile(std::string_view Payload) {
  std::string Bytes(SealMagic);
  appendNumber(Bytes, checksum(Payload), 4);
  Bytes += Payload;
  return Bytes;
}

Result<std::optional<std::string>> readSealedFile(const std::string &Folder,
                                                  const std::string &Name) {
  const std::string Path = Folder + "/" + Name;
  Result<std::optional<std::string>> Read = readWholeFile(Path);
  if (isError(Read) || !valueOf(Read))
    return Read;
  const std::string_view Bytes = *valueOf(Read);
  if (Bytes.size() < SealSize || !Bytes.starts_with(SealMagic))
    return corruptData(Path, "its header is damaged");
  const std::string_view Payload = Bytes.substr(SealSize);
  if (readNumber(Bytes.substr(SealMagic.size()), 4) != checksum(Payload))
    return corruptData(Path, "its checksum does not match");
  return std::optional<std::string>(std::string(Payload));
}

} // namespace sapphiremoor::detail
