#include "configuration/settingsfile.h"

#include "configuration/internal/settingsreader.h"

namespace sapphiremoor {

Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName) {
  const Result<JsonNode> Root = parseJson(Text, FileName);
  if (isError(Root))
    return errorOf(Root);
  JsonReader Reader(Text, FileName);
  Settings ParsedSettings = SettingsReader(Reader, valueOf(Root)).read();
  if (Reader.failure())
    return *Reader.failure();
  return ParsedSettings;
}

Duration hopDelay(const Settings &VmSettings, const std::string &DataCentre) {
  constexpr Duration DefaultHopDelay = std::chrono::milliseconds(1);
  if (DataCentre == VmSettings.DataCentre)
    return Duration::zero();
  const auto It = VmSettings.HopDelays.find(DataCentre);
  return It == VmSettings.HopDelays.end() ? DefaultHopDelay : It->second;
}

} // namespace sapphiremoor
