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

Error lostCopy(const Error &First) {
  return {ErrorKind::StorageFailure,
          "this copy was lost earlier: " + First.Message, First.Remedy};
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
  OpenedLog Opened;
  Opened.Log.reset(new RecordLog(Folder, std::move(Files)));
  Result<Done> Outcome = Opened.Log->recover(Opened.Recovered);
  if (isError(Outcome))
    return errorOf(Outcome);
  return Opened;
}

Result<Done> RecordLog::recover(RecoveredFolder &Recovered) {
  for (auto &&Step : {&RecordLog::recoverRecords, &RecordLog::recoverIdentity})
    if (Result<Done> Outcome = (this->*Step)(Recovered); isError(Outcome))
      return Outcome;
  auto Snapshot = detail::readSealedFile(Folder, SnapshotName);
  if (isError(Snapshot))
    return errorOf(Snapshot);
  auto State = detail::readSealedFile(Folder, StateName);
  if (isError(State))
    return errorOf(State);
  Recovered.Snapshot = takeValue(std::move(Snapshot));
  Recovered.State = takeValue(std::move(State));
  return Done{};
}

Result<Done> RecordLog::createIfMissing() {
  if (std::filesystem::exists(logPath()))
    return Done{};
  // A voter that keeps its identity but forgot its entries could vote against
  // what it acknowledged.
  for (const std::string &Name : {IdentityName, SnapshotName, StateName})
    if (std::filesystem::exists(Folder + "/" + Name))
      return detail::corruptData(logPath(),
                                 "it is missing, but " + Name + " is there");
  return detail::replaceFile(Files, Folder, LogName, detail::logHeader(1));
}

Result<Done> RecordLog::recoverRecords(RecoveredFolder &Recovered) {
  if (Result<Done> Created = createIfMissing(); isError(Created))
    return Created;
  auto Read = detail::readWholeFile(logPath());
  if (isError(Read))
    return errorOf(Read);
  const std::string &Bytes = valueOf(Read).value();
  detail::LogScan Scan = detail::scanLog(Bytes);
  if (!Scan.HeaderValid)
    return detail::corruptData(logPath(), "its header is damaged");
  if (Scan.CorruptMiddle)
    return detail::corruptData(logPath(),
                               "valid records follow a damaged one at byte " +
                                   std::to_string(Scan.Offsets.back()));
  FirstIndex = Scan.FirstIndex;
  Offsets = std::move(Scan.Offsets);
  Recovered.FirstIndex = FirstIndex;
  Recovered.Records = std::move(Scan.Payloads);
  Recovered.CutBytes = Bytes.size() - Offsets.back();
  if (Result<Done> Opened = openLogFile(); isError(Opened))
    return Opened;
  return Recovered.CutBytes == 0 ? Result<Done>(Done{})
                                 : truncateFrom(nextIndex());
}

Result<Done> RecordLog::recoverIdentity(RecoveredFolder &Recovered) {
  auto Read = detail::readSealedFile(Folder, IdentityName);
  if (isError(Read))
    return errorOf(Read);
  if (valueOf(Read)) {
    if (valueOf(Read)->size() != 8)
      return detail::corruptData(Folder + "/" + IdentityName,
                                 "it does not hold 8 bytes");
    Recovered.Identity = detail::readNumber(*valueOf(Read), 8);
    return Done{};
  }
  Recovered.Identity = secureRandom64();
  std::string Bytes;
  detail::appendNumber(Bytes, Recovered.Identity, 8);
  return detail::replaceFile(Files, Folder, IdentityName,
                             detail::sealFile(Bytes));
}

Result<Done> RecordLog::openLogFile() {
  if (Descriptor >= 0)
    Files.Close(Descriptor);
  Descriptor = Files.Open(logPath(), O_WRONLY | O_APPEND);
  if (Descriptor < 0)
    return detail::storageFailure("open", logPath());
  return Done{};
}

Result<Done> RecordLog::keepFailure(Result<Done> Outcome) {
  if (isError(Outcome) && !Failure)
    Failure = errorOf(Outcome);
  return Outcome;
}

Result<Done> RecordLog::append(uint64_t First,
                               std::span<const std::string> Records) {
  if (Failure)
    return lostCopy(*Failure);
  if (First != nextIndex())
    return keepFailure(Error{ErrorKind::Internal,
                             "appended records do not follow the last one",
                             "report this fault"});
  std::string Bytes;
  std::vector<std::size_t> Ends;
  for (const std::string &Record : Records) {
    detail::appendRecord(Bytes, nextIndex() + Ends.size(), Record);
    Ends.push_back(Offsets.back() + Bytes.size());
  }
  Dirty = true;
  Result<Done> Written = detail::writeAll(Files, Descriptor, Bytes, logPath());
  if (isError(Written))
    return keepFailure(Written);
  Offsets.insert(Offsets.end(), Ends.begin(), Ends.end());
  return Done{};
}

Result<Done> RecordLog::sync() {
  if (Failure)
    return lostCopy(*Failure);
  if (!Dirty)
    return Done{};
  if (Files.Fsync(Descriptor) != 0)
    return keepFailure(detail::storageFailure("fsync", logPath()));
  Dirty = false;
  return Done{};
}

Result<Done> RecordLog::truncateFrom(uint64_t Index) {
  if (Failure)
    return lostCopy(*Failure);
  if (Index < FirstIndex || Index > nextIndex())
    return keepFailure(Error{ErrorKind::Internal,
                             "truncation at a record that the log lacks",
                             "report this fault"});
  const std::size_t Kept = static_cast<std::size_t>(Index - FirstIndex);
  if (Files.Ftruncate(Descriptor, static_cast<off_t>(Offsets[Kept])) != 0)
    return keepFailure(detail::storageFailure("truncate", logPath()));
  Offsets.resize(Kept + 1);
  Dirty = true;
  return sync();
}

Result<Done> RecordLog::replaceState(std::string_view Bytes) {
  if (Failure)
    return lostCopy(*Failure);
  return keepFailure(
      detail::replaceFile(Files, Folder, StateName, detail::sealFile(Bytes)));
}

Result<Done> RecordLog::replaceSnapshot(std::string_view Bytes,
                                        uint64_t KeepFrom, bool KeepNone) {
  if (Failure)
    return lostCopy(*Failure);
  Result<Done> Replaced =
      detail::replaceFile(Files, Folder, SnapshotName, detail::sealFile(Bytes));
  if (isError(Replaced))
    return keepFailure(Replaced);
  return keepFailure(compact(KeepFrom, KeepNone));
}

Result<Done> RecordLog::compact(uint64_t KeepFrom, bool KeepNone) {
  if (KeepFrom == FirstIndex && !KeepNone)
    return Done{};
  std::string Bytes = detail::logHeader(KeepFrom);
  std::vector<std::size_t> Kept{Bytes.size()};
  if (!KeepNone && KeepFrom >= FirstIndex && KeepFrom < nextIndex()) {
    auto Read = detail::readWholeFile(logPath());
    if (isError(Read))
      return errorOf(Read);
    const std::size_t First = static_cast<std::size_t>(KeepFrom - FirstIndex);
    const std::size_t Cut = Offsets[First] - Bytes.size();
    std::ranges::transform(Offsets.begin() + static_cast<long>(First) + 1,
                           Offsets.end(), std::back_inserter(Kept),
                           [Cut](std::size_t Offset) { return Offset - Cut; });
    Bytes += std::string_view(*valueOf(Read)).substr(Offsets[First]);
  }
  if (auto Replaced = detail::replaceFile(Files, Folder, LogName, Bytes);
      isError(Replaced))
    return Replaced;
  FirstIndex = KeepFrom;
  Offsets = std::move(Kept);
  Dirty = false;
  return openLogFile();
}

} // namespace sapphiremoor
