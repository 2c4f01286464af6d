#ifndef SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_RECORDFORMAT_H
#define SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_RECORDFORMAT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphiremoor::detail {

/// Bytes before the payload of a record: length (4), checksum (4), index (8).
inline constexpr std::size_t RecordHeaderBytes = 16;

/// Bytes at the start of a log file: magic (8), first index (8), checksum (4).
inline constexpr std::size_t LogHeaderBytes = 20;

/// Returns the CRC-32 of \p Bytes.
uint32_t checksum(std::string_view Bytes);

/// Appends the low \p Size bytes of \p Value, least significant first.
void appendNumber(std::string &Bytes, uint64_t Value, std::size_t Size);

/// Returns the number in the first \p Size bytes of \p Bytes.
uint64_t readNumber(std::string_view Bytes, std::size_t Size);

/// Appends one record to \p Bytes. The checksum covers length, index and
/// payload, so that a record in the wrong place is not accepted as valid.
void appendRecord(std::string &Bytes, uint64_t Index, std::string_view Payload);

/// Returns the header of a log whose first record has the index \p FirstIndex.
std::string logHeader(uint64_t FirstIndex);

/// Result of scanning the content of a log file.
struct LogScan {
  bool HeaderValid = false;
  /// True if a valid record follows a damaged one.
  bool ValidAfterDamage = false;
  uint64_t FirstIndex = 1;
  std::vector<std::string> Payloads;
  /// Offsets[I] is the start of record I; the last one is the end of the valid
  /// records.
  std::vector<std::size_t> Offsets;
};

/// Reads the records of the log file content \p Bytes.
LogScan scanLog(std::string_view Bytes);

} // namespace sapphiremoor::detail

#endif // SAPPHIREMOOR_FRAMEWORK_STORAGE_INTERNAL_RECORDFORMAT_H
