#include "cluster/lifenumber.h"

#include "framework/codec/serial.h"
#include "framework/core/random.h"
#include "framework/eventlog/eventlog.h"
#include "framework/storage/recordlog.h"

namespace sapphiremoor {

namespace {

/// The number before the first start. It is random, so that a VM that has lost
/// its disk does not count from the same number again.
uint32_t randomNumber() { return static_cast<uint32_t>(secureRandom64()); }

uint32_t storedNumber(const RecoveredFolder &Recovered) {
  if (!Recovered.State)
    return randomNumber();
  const Result<uint32_t> Stored = decode<uint32_t>(*Recovered.State);
  return isError(Stored) ? randomNumber() : valueOf(Stored);
}

Result<uint32_t> countStart(const std::string &Folder) {
  Result<OpenedLog> OpenResult = RecordLog::open(Folder);
  if (isError(OpenResult))
    return errorOf(OpenResult);
  const OpenedLog Opened = takeValue(std::move(OpenResult));
  const uint32_t Number = storedNumber(Opened.Recovered) + 1;
  const Result<Done> Stored = Opened.Log->replaceState(encode(Number));
  if (isError(Stored))
    return errorOf(Stored);
  return Number;
}

} // namespace

uint32_t takeLifeNumber(const std::string &DataFolder) {
  const Result<uint32_t> Number = countStart(DataFolder + "/life");
  if (!isError(Number))
    return valueOf(Number);
  logEvent(events::StorageFailed, {{"error", describe(errorOf(Number))}});
  return randomNumber();
}

} // namespace sapphiremoor
