#include "framework/codec/frame.h"

#include <cstdlib>

/// libFuzzer entry: no input without the secret may be accepted as a frame.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace sapphiremoor;
  const std::string_view Received(reinterpret_cast<const char *>(Data), Size);
  const auto R = readFrame(Received, 0, "0123456789abcdef", MaxHelloBytes);
  if (!isError(R) && valueOf(R).has_value())
    std::abort();
  return 0;
}
