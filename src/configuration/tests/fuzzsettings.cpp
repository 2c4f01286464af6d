#include "configuration/configstate.h"
#include "configuration/servicefiles.h"
#include "configuration/settingsfile.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

/// Aborts if an error has no location or no remedy.
template <typename T>
void checkError(const sapphiremoor::Result<T> &Result,
                std::string_view FileName) {
  if (!sapphiremoor::isError(Result))
    return;
  const sapphiremoor::Error &Failure = sapphiremoor::errorOf(Result);
  if (Failure.Remedy.empty() || !Failure.Message.starts_with(FileName))
    std::abort();
}

/// Passes one input to each parser of untrusted configuration.
int fuzzSettings(const uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  checkError(sapphiremoor::parseSettings(Text, "vm.json"), "vm.json:");
  checkError(sapphiremoor::parseServiceFile(Text, "a.json"), "a.json");
  static_cast<void>(sapphiremoor::decodeState(Text));
  // Two files, separated by the first zero byte, that may contradict each
  // other.
  const std::size_t Split = std::min(Text.find('\0'), Text.size());
  const std::string First(Text.substr(0, Split));
  const std::string Second(Text.substr(std::min(Split + 1, Text.size())));
  static_cast<void>(sapphiremoor::mergeConfiguration(
      {{"a.json", First}, {"b.json", Second}}));
  return 0;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
    const uint8_t *Data, std::size_t Size) {
  return fuzzSettings(Data, Size);
}
