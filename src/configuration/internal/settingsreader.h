#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_SETTINGSREADER_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_SETTINGSREADER_H

#include "configuration/internal/jsonreader.h"
#include "configuration/types/settings.h"

#include <string>
#include <vector>

namespace sapphiremoor {

/// Reads the settings of a VM from a parsed file. Errors are recorded in the
/// reader.
class SettingsReader {
public:
  SettingsReader(JsonReader &Reader, const JsonNode &Root);

  /// Returns the settings; they are valid if the reader has no failure.
  Settings read();

private:
  std::string readRequiredName(const std::string &Key);
  std::string readRequiredString(const std::string &Key);
  Endpoint readEndpoint(const JsonNode &Node, const std::string &Path);
  Endpoint readRequiredEndpoint(const std::string &Key);
  void readPeers();
  void readPeer(const JsonNode &Node, const std::string &Path);
  void checkPeer(const JsonNode &Node, const PeerSettings &Peer);
  void readVoters();
  void checkVoter(const JsonNode &Node, const std::string &Name);
  void readHops();
  void checkDataFolder();
  std::vector<std::string> vmNames() const;

  JsonReader &Reader;
  const JsonNode &Root;
  Settings ParsedSettings;
  /// All entries of the list of peers, including the one of this VM.
  std::vector<PeerSettings> ListedPeers;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_SETTINGSREADER_H
