#include "framework/codec/frame.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

namespace {
constexpr std::string_view Secret = "0123456789abcdef";

bool isBadFrame(const Result<std::optional<Frame>> &R) {
  return isError(R) && errorOf(R).Kind == ErrorKind::BadFrame;
}
} // namespace

TEST_CASE(
    "a frame is read back, and a truncated one is reported as incomplete") {
  const std::string Bytes =
      buildFrame(FrameType::Message, 7, "payload", Secret);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    const auto R = readFrame(std::string_view(Bytes).substr(0, Size), 7, Secret,
                             MaxFrameBytes);
    REQUIRE_FALSE(isError(R));
    CHECK_FALSE(valueOf(R).has_value());
  }
  // The payload points into the received bytes, which must outlive it.
  const std::string Received = Bytes + "next";
  const auto R = readFrame(Received, 7, Secret, MaxFrameBytes);
  CHECK(valueOf(R)->Payload == "payload");
  CHECK(valueOf(R)->TotalBytes == Bytes.size());
}

TEST_CASE("any changed byte, replay or wrong secret is refused") {
  const std::string Bytes =
      buildFrame(FrameType::Message, 7, "payload", Secret);
  // A changed length may only make the reader wait or fail, never succeed.
  for (std::size_t I = 0; I < Bytes.size(); ++I) {
    std::string Changed = Bytes;
    Changed[I] = static_cast<char>(Changed[I] ^ 1);
    const auto R = readFrame(Changed, 7, Secret, MaxFrameBytes);
    CHECK((isBadFrame(R) || !valueOf(R).has_value()));
  }
  CHECK(isBadFrame(readFrame(Bytes, 8, Secret, MaxFrameBytes)));
  CHECK(isBadFrame(readFrame(Bytes, 7, "another secret..", MaxFrameBytes)));
}

TEST_CASE("an oversized length is refused from the header alone") {
  std::string Bytes = buildFrame(FrameType::Message, 0, "", Secret);
  Bytes[0] = '\x7f';
  CHECK(isBadFrame(readFrame(Bytes, 0, Secret, MaxFrameBytes)));
}
