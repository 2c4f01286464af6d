#include "framework/codec/frame.h"

#include "framework/codec/crypto.h"

namespace sapphiremoor {

namespace {

constexpr std::size_t VersionOffset = 4;
constexpr std::size_t TypeOffset = 5;
constexpr std::size_t SequenceOffset = 6;
constexpr std::size_t MacOffset = 14;
constexpr std::size_t MacBytes = FrameHeaderBytes - MacOffset;

template <typename Integer> std::string bigEndian(Integer Value) {
  std::string Bytes(sizeof(Integer), '\0');
  for (std::size_t I = 0; I < sizeof(Integer); ++I)
    Bytes[I] = static_cast<char>(Value >> (8 * (sizeof(Integer) - 1 - I)));
  return Bytes;
}

template <typename Integer> Integer parseBigEndian(std::string_view Bytes) {
  Integer Value = 0;
  for (std::size_t I = 0; I < sizeof(Integer); ++I)
    Value = static_cast<Integer>((Value << 8) | static_cast<uint8_t>(Bytes[I]));
  return Value;
}

std::string frameMac(std::string_view Header, std::string_view Payload,
                     std::string_view Secret) {
  std::string AuthenticatedBytes(Header);
  AuthenticatedBytes += Payload;
  return std::string(
      digestBytes(hmacSha256(Secret, AuthenticatedBytes)).substr(0, MacBytes));
}

Error badFrame(const std::string &Message) {
  return {ErrorKind::BadFrame, Message,
          "check that only VMs with the same version and cluster key connect"};
}

} // namespace

std::string buildFrame(FrameType Type, uint64_t Sequence,
                       std::string_view Payload, std::string_view Secret) {
  std::string Bytes = bigEndian(static_cast<uint32_t>(Payload.size()));
  Bytes += static_cast<char>(FrameVersion);
  Bytes += static_cast<char>(Type);
  Bytes += bigEndian(Sequence);
  Bytes += frameMac(Bytes, Payload, Secret);
  Bytes += Payload;
  return Bytes;
}

Result<std::optional<Frame>> readFrame(std::string_view Received,
                                       uint64_t ExpectedSequence,
                                       std::string_view Secret,
                                       std::size_t MaxPayload) {
  if (Received.size() < FrameHeaderBytes)
    return std::optional<Frame>();
  const std::size_t Length = parseBigEndian<uint32_t>(Received);
  if (Length > MaxPayload)
    return badFrame("a frame of " + std::to_string(Length) +
                    " bytes exceeds the limit of " +
                    std::to_string(MaxPayload));
  if (static_cast<uint8_t>(Received[VersionOffset]) != FrameVersion)
    return badFrame("the frame has an unknown version");
  const auto Type = static_cast<uint8_t>(Received[TypeOffset]);
  if (Type < static_cast<uint8_t>(FrameType::Hello) ||
      Type > static_cast<uint8_t>(FrameType::Message))
    return badFrame("the frame has an unknown type");
  if (parseBigEndian<uint64_t>(Received.substr(SequenceOffset)) !=
      ExpectedSequence)
    return badFrame("the sequence number of the frame is wrong");
  if (Received.size() < FrameHeaderBytes + Length)
    return std::optional<Frame>();
  const std::string_view Payload = Received.substr(FrameHeaderBytes, Length);
  if (!equalConstantTime(
          frameMac(Received.substr(0, MacOffset), Payload, Secret),
          Received.substr(MacOffset, MacBytes)))
    return badFrame("the authentication code of the frame is wrong");
  return std::optional<Frame>(
      Frame{static_cast<FrameType>(Type), Payload, FrameHeaderBytes + Length});
}

} // namespace sapphiremoor
