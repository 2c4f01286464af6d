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

constexpr std::string_view FileMagic = "SMFILE01";
constexpr std::size_t FileHeaderBytes = 12;

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
  Result<Done> Outcome = writeAll(Files, Descriptor, Bytes, Path);
  if (isError(Outcome))
    return Outcome;
  if (Files.Fsync(Descriptor) != 0)
    return storageFailure("fsync", Path);
  return Done{};
}

} // namespace

Error storageFailure(std::string_view Operation, const std::string &Path) {
  const int Code = errno;
  return {ErrorKind::StorageFailure,
          std::string(Operation) + " of " + Path + " failed: " +
              (Code == 0 ? "nothing was written" : std::strerror(Code)),
          "free or replace the disk, remove the data folder and start again; "
          "then replace this voter with \"config voters replace\""};
}

Error corruptData(const std::string &Path, std::string_view Reason) {
  return {ErrorKind::CorruptData, Path + " is corrupt: " + std::string(Reason),
          "check the disk, move the whole data folder away and start again; "
          "then replace this voter with \"config voters replace\""};
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
  const std::string TemporaryPath = Path + ".tmp";
  Result<Done> Outcome = writeSynced(Files, TemporaryPath, Bytes);
  if (isError(Outcome))
    return Outcome;
  if (Files.Rename(TemporaryPath, Path) != 0)
    return storageFailure("rename", TemporaryPath);
  return syncFolder(Files, Folder);
}

std::string addFileHeader(std::string_view Payload) {
  std::string Bytes(FileMagic);
  appendNumber(Bytes, checksum(Payload), 4);
  Bytes += Payload;
  return Bytes;
}

Result<std::optional<std::string>> readFilePayload(const std::string &Folder,
                                                   const std::string &Name) {
  const std::string Path = Folder + "/" + Name;
  Result<std::optional<std::string>> Content = readWholeFile(Path);
  if (isError(Content) || !valueOf(Content))
    return Content;
  const std::string_view Bytes = *valueOf(Content);
  if (Bytes.size() < FileHeaderBytes || !Bytes.starts_with(FileMagic))
    return corruptData(Path, "its header is damaged");
  const std::string_view Payload = Bytes.substr(FileHeaderBytes);
  if (readNumber(Bytes.substr(FileMagic.size()), 4) != checksum(Payload))
    return corruptData(Path, "its checksum does not match");
  return std::optional<std::string>(std::string(Payload));
}

} // namespace sapphiremoor::detail
