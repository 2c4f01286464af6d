#include "framework/storage/internal/recordformat.h"

#include <zlib.h>

namespace sapphiremoor::detail {

namespace {

constexpr std::string_view LogMagic = "SMLOG001";

struct RecordView {
  uint64_t Index = 0;
  std::string_view Payload;
};

uint32_t recordChecksum(uint64_t Index, std::string_view Payload) {
  std::string ChecksummedBytes;
  appendNumber(ChecksummedBytes, Payload.size(), 4);
  appendNumber(ChecksummedBytes, Index, 8);
  const uLong Sum = checksum(ChecksummedBytes);
  // crc32_z with a null pointer would restart the sum.
  if (Payload.empty())
    return static_cast<uint32_t>(Sum);
  const auto *Data = reinterpret_cast<const Bytef *>(Payload.data());
  return static_cast<uint32_t>(::crc32_z(Sum, Data, Payload.size()));
}

/// Returns the record at the start of \p Bytes if it is whole and its checksum
/// matches. Only an index in [LowIndex, HighIndex] is considered, which avoids
/// most checksum computations when all offsets are searched.
std::optional<RecordView> parseRecord(std::string_view Bytes, uint64_t LowIndex,
                                      uint64_t HighIndex) {
  if (Bytes.size() < RecordHeaderBytes)
    return std::nullopt;
  const uint64_t Size = readNumber(Bytes, 4);
  const uint64_t Index = readNumber(Bytes.substr(8), 8);
  if (Index < LowIndex || Index > HighIndex)
    return std::nullopt;
  if (Size > Bytes.size() - RecordHeaderBytes)
    return std::nullopt;
  const std::string_view Payload = Bytes.substr(RecordHeaderBytes, Size);
  if (recordChecksum(Index, Payload) != readNumber(Bytes.substr(4), 4))
    return std::nullopt;
  return RecordView{Index, Payload};
}

/// Returns true if a valid record with an index above \p Index starts at any
/// offset of \p Bytes after the first.
bool validRecordFollows(std::string_view Bytes, uint64_t Index) {
  const uint64_t HighIndex = Index + Bytes.size() / RecordHeaderBytes + 1;
  for (std::size_t Offset = 1; Offset < Bytes.size(); ++Offset)
    if (parseRecord(Bytes.substr(Offset), Index + 1, HighIndex))
      return true;
  return false;
}

} // namespace

uint32_t checksum(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const Bytef *>(Bytes.data());
  return static_cast<uint32_t>(::crc32_z(0, Data, Bytes.size()));
}

void appendNumber(std::string &Bytes, uint64_t Value, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Bytes.push_back(static_cast<char>((Value >> (8 * I)) & 0xff));
}

uint64_t readNumber(std::string_view Bytes, std::size_t Size) {
  uint64_t Value = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Value |= static_cast<uint64_t>(static_cast<unsigned char>(Bytes[I]))
             << (8 * I);
  return Value;
}

void appendRecord(std::string &Bytes, uint64_t Index,
                  std::string_view Payload) {
  appendNumber(Bytes, Payload.size(), 4);
  appendNumber(Bytes, recordChecksum(Index, Payload), 4);
  appendNumber(Bytes, Index, 8);
  Bytes += Payload;
}

std::string logHeader(uint64_t FirstIndex) {
  std::string Bytes(LogMagic);
  appendNumber(Bytes, FirstIndex, 8);
  appendNumber(Bytes, checksum(Bytes), 4);
  return Bytes;
}

LogScan scanLog(std::string_view Bytes) {
  LogScan Scan;
  if (Bytes.size() < LogHeaderBytes)
    return Scan;
  Scan.FirstIndex = readNumber(Bytes.substr(LogMagic.size()), 8);
  Scan.HeaderValid = Bytes.starts_with(logHeader(Scan.FirstIndex));
  if (!Scan.HeaderValid)
    return Scan;
  std::size_t Offset = LogHeaderBytes;
  uint64_t Index = Scan.FirstIndex;
  Scan.Offsets.push_back(Offset);
  while (const auto Record = parseRecord(Bytes.substr(Offset), Index, Index)) {
    Scan.Payloads.emplace_back(Record->Payload);
    Offset += RecordHeaderBytes + Record->Payload.size();
    Scan.Offsets.push_back(Offset);
    ++Index;
  }
  Scan.ValidAfterDamage = validRecordFollows(Bytes.substr(Offset), Index);
  return Scan;
}

} // namespace sapphiremoor::detail
