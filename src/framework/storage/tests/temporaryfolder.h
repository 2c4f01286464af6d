#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_TESTS_TEMPORARYFOLDER_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_TESTS_TEMPORARYFOLDER_H

#include "framework/core/random.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace sapphiremoor::testing {

/// A temporary folder that the destructor removes.
struct TemporaryFolder {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("sapphiremoor-" + std::to_string(secureRandom64())))
                         .string();

  TemporaryFolder() { std::filesystem::create_directories(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }

  std::string read(const std::string &Name) const {
    std::ifstream File(Path + "/" + Name, std::ios::binary);
    return {std::istreambuf_iterator<char>(File), {}};
  }
  void write(const std::string &Name, const std::string &Bytes) const {
    // Truncating an existing file makes some file systems flush it on close,
    // which takes minutes in a test that writes thousands of times.
    std::filesystem::remove(Path + "/" + Name);
    std::ofstream(Path + "/" + Name, std::ios::binary) << Bytes;
  }
};

} // namespace sapphiremoor::testing

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_TESTS_TEMPORARYFOLDER_H
