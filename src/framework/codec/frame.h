#ifndef SAPPHIREMOOR_FRAMEWORK_CODEC_FRAME_H
#define SAPPHIREMOOR_FRAMEWORK_CODEC_FRAME_H

#include "framework/core/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Types of frames between VMs. Hello and Welcome frames open a link, Message
/// frames carry its messages. Payloads are encoded with cereal.
enum class FrameType : uint8_t { Hello = 1, Welcome = 2, Message = 3 };

/// Version of the frame layout; other versions are refused.
inline constexpr uint8_t FrameVersion = 1;

/// Bytes before the payload: length (4), version (1), type (1), sequence (8),
/// message authentication code (16).
inline constexpr std::size_t FrameHeaderBytes = 30;

/// Largest payload before the peer has proved that it knows the cluster key.
inline constexpr std::size_t MaxHelloBytes = 512;

/// Largest payload of an authenticated link: one whole job.
inline constexpr std::size_t MaxFrameBytes = std::size_t{8} << 20;

/// One decoded frame. The payload points into the receive buffer.
struct Frame {
  FrameType Type = FrameType::Message;
  std::string_view Payload;
  std::size_t TotalBytes = 0;
};

/// Builds a frame whose authentication code is computed with \p Secret.
std::string buildFrame(FrameType Type, uint64_t Sequence,
                       std::string_view Payload, std::string_view Secret);

/// Reads the first frame of \p Received. Returns no frame if \p Received ends
/// before the frame does, and BadFrame for a wrong version, type, length,
/// sequence number or authentication code. The length is checked against
/// \p MaxPayload before the payload is complete.
Result<std::optional<Frame>> readFrame(std::string_view Received,
                                       uint64_t ExpectedSequence,
                                       std::string_view Secret,
                                       std::size_t MaxPayload);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_CODEC_FRAME_H
