#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_RECORDLOG_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_RECORDLOG_H

#include "framework/core/result.h"
#include "framework/storage/fileoperations.h"
#include "framework/storage/types/recoveredfolder.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphiremoor {

class RecordLog;

/// An opened log and the recovered content of its folder.
struct OpenedLog {
  std::unique_ptr<RecordLog> Log;
  RecoveredFolder Recovered;
};

/// A checksummed append-only log of records with consecutive indices, with a
/// snapshot file, a small state file and an identity file, in one folder.
///
/// After the first failed write or sync every operation returns StorageFailure:
/// the kernel may have dropped the unwritten pages, so a later sync that
/// succeeds would prove nothing about them.
class RecordLog {
public:
  /// Opens the log in \p Folder and creates the folder if it is missing.
  /// Removes an incomplete last append. Errors: StorageFailure; CorruptData if
  /// valid records follow a damaged one, or if another file is damaged or
  /// missing.
  static Result<OpenedLog> open(const std::string &Folder,
                                FileOperations Files = systemFileOperations());

  RecordLog(const RecordLog &) = delete;
  RecordLog &operator=(const RecordLog &) = delete;
  ~RecordLog();

  /// Writes \p Records after the last one. They are durable after sync().
  /// \p StartIndex must be nextIndex().
  Result<Done> append(uint64_t StartIndex,
                      std::span<const std::string> Records);

  /// Makes all appended records durable.
  Result<Done> sync();

  /// Removes the record \p Index and all later ones, and syncs, because an old
  /// record must not remain in the file after a newly appended one.
  Result<Done> truncateFrom(uint64_t Index);

  /// Replaces the state file durably.
  Result<Done> replaceState(std::string_view Bytes);

  /// Replaces the snapshot file durably, then rewrites the log so that it
  /// starts at \p FirstKeptIndex. With \p DropAllRecords no record is kept.
  Result<Done> replaceSnapshot(std::string_view Bytes, uint64_t FirstKeptIndex,
                               bool DropAllRecords);

  /// The index of the next appended record.
  uint64_t nextIndex() const { return FirstIndex + Offsets.size() - 1; }

  /// The first failure, if any. After it every operation fails.
  const std::optional<Error> &failure() const { return Failure; }

private:
  RecordLog(std::string Folder, FileOperations Files);

  Result<Done> createLogIfMissing();
  Result<Done> recover(RecoveredFolder &Recovered);
  Result<Done> recoverRecords(RecoveredFolder &Recovered);
  Result<Done> recoverIdentity(RecoveredFolder &Recovered);
  Result<Done> openLogFile();
  Result<Done> compact(uint64_t FirstKeptIndex, bool DropAllRecords);
  Result<Done> latchFailure(Result<Done> Outcome);
  std::string logPath() const { return Folder + "/log"; }

  std::string Folder;
  FileOperations Files;
  int Descriptor = -1;
  uint64_t FirstIndex = 1;
  /// Offset of each record in the file, followed by the end of the last one.
  std::vector<std::size_t> Offsets;
  bool Dirty = false;
  std::optional<Error> Failure;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_RECORDLOG_H
