#include "framework/storage/fileoperations.h"

#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace sapphiremoor {

FileOperations systemFileOperations() {
  FileOperations System;
  System.Open = [](const std::string &Path, int Flags) {
    return ::open(Path.c_str(), Flags | O_CLOEXEC, 0600);
  };
  System.Write = [](int Descriptor, const char *Bytes, std::size_t Size) {
    return ::write(Descriptor, Bytes, Size);
  };
  System.Fsync = [](int Descriptor) { return ::fsync(Descriptor); };
  System.Ftruncate = [](int Descriptor, off_t Size) {
    return ::ftruncate(Descriptor, Size);
  };
  System.Rename = [](const std::string &OldPath, const std::string &NewPath) {
    return std::rename(OldPath.c_str(), NewPath.c_str());
  };
  System.Close = [](int Descriptor) { return ::close(Descriptor); };
  return System;
}

} // namespace sapphiremoor
