#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_FILEOPERATIONS_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_FILEOPERATIONS_H

#include <cstddef>
#include <functional>
#include <string>

#include <sys/types.h>

namespace sapphiremoor {

/// The system calls that change the data folder. Each has the meaning of the
/// POSIX call of its name (-1 and errno on failure), so that a test can inject
/// a failed fsync, a short write or a full disk.
struct FileOperations {
  std::function<int(const std::string &Path, int Flags)> Open;
  std::function<ssize_t(int Descriptor, const char *Bytes, std::size_t Size)>
      Write;
  std::function<int(int Descriptor)> Fsync;
  std::function<int(int Descriptor, off_t Size)> Ftruncate;
  std::function<int(const std::string &OldPath, const std::string &NewPath)>
      Rename;
  std::function<int(int Descriptor)> Close;
};

/// Returns the operations of the running system. Files are created with mode
/// 0600.
FileOperations systemFileOperations();

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_FILEOPERATIONS_H
