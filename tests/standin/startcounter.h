#ifndef SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H
#define SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H

#include <cstdint>
#include <string>
#include <unordered_set>

namespace sapphiremoor::standin {

/// Counts the starts of tasks outside of the system under test.
class StartCounter {
public:
  /// Appends to \p File, which several stand-ins may share; an empty name
  /// means no file. Check ok() afterwards.
  explicit StartCounter(const std::string &FileName);
  ~StartCounter();
  StartCounter(const StartCounter &) = delete;
  StartCounter &operator=(const StartCounter &) = delete;

  /// Returns whether the file could be opened and all lines were written.
  bool ok() const { return IsOk; }

  /// Counts one start of \p Task and writes one line for it.
  void countStart(const std::string &Task);

  uint64_t total() const { return Total; }

  /// Returns the number of starts after the first of the same task.
  uint64_t repeated() const { return Repeated; }

private:
  int Fd = -1;
  bool IsOk = true;
  uint64_t Total = 0;
  uint64_t Repeated = 0;
  /// Hashes instead of names: a benchmark starts millions of tasks.
  std::unordered_set<uint64_t> TaskHashes;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_STARTCOUNTER_H
