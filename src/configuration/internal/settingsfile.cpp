#include "configuration/settingsfile.h"

#include "configuration/internal/settingsreader.h"

namespace sapphiremoor {

Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName) {
  const Result<JsonNode> Root = parseJson(Text, FileName);
  if (isError(Root))
    return errorOf(Root);
  JsonReader Reader(Text, FileName);
  Settings Parsed = SettingsReader(Reader, valueOf(Root)).read();
  if (Reader.failure())
    return *Reader.failure();
  return Parsed;
}

Duration hopTo(const Settings &Of, const std::string &DataCentre) {
  constexpr Duration DefaultHop = std::chrono::milliseconds(1);
  if (DataCentre == Of.DataCentre)
    return Duration::zero();
  const auto Found = Of.Hops.find(DataCentre);
  return Found == Of.Hops.end() ? DefaultHop : Found->second;
}

} // namespace sapphiremoor
