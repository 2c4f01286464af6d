#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_FOLDERFILE_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_FOLDERFILE_H

#include "framework/core/result.h"
#include "framework/storage/fileoperations.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphiremoor::detail {

/// Returns a StorageFailure that names the failed operation, the path and
/// errno.
Error storageFailure(std::string_view Operation, const std::string &Path);

/// Returns a CorruptData error for \p Path.
Error corruptData(const std::string &Path, std::string_view Reason);

/// Returns the content of \p Path, or nothing if the file does not exist.
Result<std::optional<std::string>> readWholeFile(const std::string &Path);

/// Writes all of \p Bytes at the descriptor's position. A short write is
/// continued. A write of zero bytes is a failure.
Result<Done> writeAll(const FileOperations &Files, int Descriptor,
                      std::string_view Bytes, const std::string &Path);

/// Replaces Folder/Name atomically: writes a temporary file, syncs it, renames
/// it and syncs the folder.
Result<Done> replaceFile(const FileOperations &Files, const std::string &Folder,
                         const std::string &Name, std::string_view Bytes);

/// Returns \p Payload with a leading magic number and checksum.
std::string addFileHeader(std::string_view Payload);

/// Reads the payload of Folder/Name, which starts with the header of
/// addFileHeader(). Returns nothing if the file does not exist, and CorruptData
/// if the header is damaged or the checksum does not match.
Result<std::optional<std::string>> readFilePayload(const std::string &Folder,
                                                   const std::string &Name);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_FOLDERFILE_H
