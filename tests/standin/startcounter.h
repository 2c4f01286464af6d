#ifndef SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H
#define SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H

#include <cstdint>
#include <string>
#include <unordered_set>

namespace sapphiremoor::standin {

/// Counts task starts independently of the system under test.
class StartCounter {
public:
  /// Appends to \p FileName, which several stand-ins may share. An empty name
  /// means no file. Check ok() afterwards.
  explicit StartCounter(const std::string &FileName);
  ~StartCounter();
  StartCounter(const StartCounter &) = delete;
  StartCounter &operator=(const StartCounter &) = delete;

  /// Returns true if the file could be opened and all lines were written.
  bool ok() const { return IsOk; }

  /// Counts one start of \p Task and appends a line with its name to the file.
  void countStart(const std::string &Task);

  uint64_t total() const { return Total; }

  /// Returns the number of starts that were not the first of their task.
  uint64_t repeated() const { return Repeated; }

private:
  int Fd = -1;
  bool IsOk = true;
  uint64_t Total = 0;
  uint64_t Repeated = 0;
  /// Hashes instead of names to save memory, because a benchmark starts
  /// millions of tasks.
  std::unordered_set<uint64_t> TaskHashes;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H
