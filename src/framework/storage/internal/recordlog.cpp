#include "framework/storage/recordlog.h"
#include "framework/core/random.h"
#include "framework/storage/internal/folderfile.h"
#include "framework/storage/internal/recordformat.h"

#include <algorithm>
#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace sapphiremoor {

namespace {

const std::string LogName = "log";
const std::string SnapshotName = "snapshot";
const std::string StateName = "state";
const std::string IdentityName = "identity";

Error logFailedError(const Error &FirstFailure) {
  return {ErrorKind::StorageFailure,
          "the record log failed earlier: " + FirstFailure.Message,
          FirstFailure.Remedy};
}

} // namespace

RecordLog::RecordLog(std::string Folder, FileOperations Files)
    : Folder(std::move(Folder)), Files(std::move(Files)) {}

RecordLog::~RecordLog() {
  if (Descriptor >= 0)
    Files.Close(Descriptor);
}

Result<OpenedLog> RecordLog::open(const std::string &Folder,
                                  FileOperations Files) {
  std::error_code Code;
  std::filesystem::create_directories(Folder, Code);
  if (Code)
    return Error{ErrorKind::StorageFailure,
                 "cannot create the folder " + Folder + ": " + Code.message(),
                 "set data_folder to a folder that this user may write"};
  OpenedLog OpenLog;
  OpenLog.Log.reset(new RecordLog(Folder, std::move(Files)));
  Result<Done> Outcome = OpenLog.Log->recover(OpenLog.Recovered);
  if (isError(Outcome))
    return errorOf(Outcome);
  return OpenLog;
}

Result<Done> RecordLog::recover(RecoveredFolder &Recovered) {
  for (auto &&RecoverStep :
       {&RecordLog::recoverRecords, &RecordLog::recoverIdentity})
    if (Result<Done> Outcome = (this->*RecoverStep)(Recovered);
        isError(Outcome))
      return Outcome;
  auto Snapshot = detail::readFilePayload(Folder, SnapshotName);
  if (isError(Snapshot))
    return errorOf(Snapshot);
  auto State = detail::readFilePayload(Folder, StateName);
  if (isError(State))
    return errorOf(State);
  Recovered.Snapshot = takeValue(std::move(Snapshot));
  Recovered.State = takeValue(std::move(State));
  return Done{};
}

Result<Done> RecordLog::createLogIfMissing() {
  if (std::filesystem::exists(logPath()))
    return Done{};
  // A voter that keeps its identity but lost its entries could vote against
  // entries that it acknowledged.
  for (const std::string &Name : {IdentityName, SnapshotName, StateName})
    if (std::filesystem::exists(Folder + "/" + Name))
      return detail::corruptData(logPath(),
                                 "it is missing, but " + Name + " exists");
  return detail::replaceFile(Files, Folder, LogName, detail::logHeader(1));
}

Result<Done> RecordLog::recoverRecords(RecoveredFolder &Recovered) {
  if (Result<Done> Outcome = createLogIfMissing(); isError(Outcome))
    return Outcome;
  auto Content = detail::readWholeFile(logPath());
  if (isError(Content))
    return errorOf(Content);
  const std::string &Bytes = valueOf(Content).value();
  detail::LogScan Scan = detail::scanLog(Bytes);
  if (!Scan.HeaderValid)
    return detail::corruptData(logPath(), "its header is damaged");
  if (Scan.ValidAfterDamage)
    return detail::corruptData(logPath(),
                               "valid records follow a damaged one at byte " +
                                   std::to_string(Scan.Offsets.back()));
  FirstIndex = Scan.FirstIndex;
  Offsets = std::move(Scan.Offsets);
  Recovered.FirstIndex = FirstIndex;
  Recovered.Records = std::move(Scan.Payloads);
  Recovered.TruncatedBytes = Bytes.size() - Offsets.back();
  if (Result<Done> Outcome = openLogFile(); isError(Outcome))
    return Outcome;
  return Recovered.TruncatedBytes == 0 ? Result<Done>(Done{})
                                       : truncateFrom(nextIndex());
}

Result<Done> RecordLog::recoverIdentity(RecoveredFolder &Recovered) {
  auto Content = detail::readFilePayload(Folder, IdentityName);
  if (isError(Content))
    return errorOf(Content);
  if (valueOf(Content)) {
    if (valueOf(Content)->size() != 8)
      return detail::corruptData(Folder + "/" + IdentityName,
                                 "it does not hold 8 bytes");
    Recovered.Identity = detail::readNumber(*valueOf(Content), 8);
    return Done{};
  }
  Recovered.Identity = secureRandom64();
  std::string Bytes;
  detail::appendNumber(Bytes, Recovered.Identity, 8);
  return detail::replaceFile(Files, Folder, IdentityName,
                             detail::addFileHeader(Bytes));
}

Result<Done> RecordLog::openLogFile() {
  if (Descriptor >= 0)
    Files.Close(Descriptor);
  Descriptor = Files.Open(logPath(), O_WRONLY | O_APPEND);
  if (Descriptor < 0)
    return detail::storageFailure("open", logPath());
  return Done{};
}

Result<Done> RecordLog::latchFailure(Result<Done> Outcome) {
  if (isError(Outcome) && !Failure)
    Failure = errorOf(Outcome);
  return Outcome;
}

Result<Done> RecordLog::append(uint64_t StartIndex,
                               std::span<const std::string> Records) {
  if (Failure)
    return logFailedError(*Failure);
  if (StartIndex != nextIndex())
    return latchFailure(
        Error{ErrorKind::Internal,
              "the appended records do not follow the last record",
              "report this as a bug"});
  std::string Bytes;
  std::vector<std::size_t> EndOffsets;
  for (const std::string &Record : Records) {
    detail::appendRecord(Bytes, nextIndex() + EndOffsets.size(), Record);
    EndOffsets.push_back(Offsets.back() + Bytes.size());
  }
  Dirty = true;
  Result<Done> Outcome = detail::writeAll(Files, Descriptor, Bytes, logPath());
  if (isError(Outcome))
    return latchFailure(Outcome);
  Offsets.insert(Offsets.end(), EndOffsets.begin(), EndOffsets.end());
  return Done{};
}

Result<Done> RecordLog::sync() {
  if (Failure)
    return logFailedError(*Failure);
  if (!Dirty)
    return Done{};
  if (Files.Fsync(Descriptor) != 0)
    return latchFailure(detail::storageFailure("fsync", logPath()));
  Dirty = false;
  return Done{};
}

Result<Done> RecordLog::truncateFrom(uint64_t Index) {
  if (Failure)
    return logFailedError(*Failure);
  if (Index < FirstIndex || Index > nextIndex())
    return latchFailure(
        Error{ErrorKind::Internal,
              "cannot truncate at a record that is not in the log",
              "report this as a bug"});
  const std::size_t KeptRecords = static_cast<std::size_t>(Index - FirstIndex);
  if (Files.Ftruncate(Descriptor, static_cast<off_t>(Offsets[KeptRecords])) !=
      0)
    return latchFailure(detail::storageFailure("truncate", logPath()));
  Offsets.resize(KeptRecords + 1);
  Dirty = true;
  return sync();
}

Result<Done> RecordLog::replaceState(std::string_view Bytes) {
  if (Failure)
    return logFailedError(*Failure);
  return latchFailure(detail::replaceFile(Files, Folder, StateName,
                                          detail::addFileHeader(Bytes)));
}

Result<Done> RecordLog::replaceSnapshot(std::string_view Bytes,
                                        uint64_t FirstKeptIndex,
                                        bool DropAllRecords) {
  if (Failure)
    return logFailedError(*Failure);
  Result<Done> Outcome = detail::replaceFile(Files, Folder, SnapshotName,
                                             detail::addFileHeader(Bytes));
  if (isError(Outcome))
    return latchFailure(Outcome);
  return latchFailure(compact(FirstKeptIndex, DropAllRecords));
}

Result<Done> RecordLog::compact(uint64_t FirstKeptIndex, bool DropAllRecords) {
  if (FirstKeptIndex == FirstIndex && !DropAllRecords)
    return Done{};
  std::string Bytes = detail::logHeader(FirstKeptIndex);
  std::vector<std::size_t> KeptOffsets{Bytes.size()};
  if (!DropAllRecords && FirstKeptIndex >= FirstIndex &&
      FirstKeptIndex < nextIndex()) {
    auto Content = detail::readWholeFile(logPath());
    if (isError(Content))
      return errorOf(Content);
    const std::size_t FirstKept =
        static_cast<std::size_t>(FirstKeptIndex - FirstIndex);
    const std::size_t RemovedBytes = Offsets[FirstKept] - Bytes.size();
    std::ranges::transform(
        Offsets.begin() + static_cast<long>(FirstKept) + 1, Offsets.end(),
        std::back_inserter(KeptOffsets),
        [RemovedBytes](std::size_t Offset) { return Offset - RemovedBytes; });
    Bytes += std::string_view(*valueOf(Content)).substr(Offsets[FirstKept]);
  }
  if (auto Outcome = detail::replaceFile(Files, Folder, LogName, Bytes);
      isError(Outcome))
    return Outcome;
  FirstIndex = FirstKeptIndex;
  Offsets = std::move(KeptOffsets);
  Dirty = false;
  return openLogFile();
}

} // namespace sapphiremoor
