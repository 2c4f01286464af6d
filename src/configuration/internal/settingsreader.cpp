#include "configuration/internal/settingsreader.h"

#include "configuration/internal/limitsreader.h"
#include "configuration/internal/printable.h"
#include "framework/core/text.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxVoters = 7;

std::string elementPath(const std::string &Path, std::size_t Index) {
  return Path + "[" + std::to_string(Index) + "]";
}

std::string formatSuggestion(const std::string &Word,
                             const std::vector<std::string> &KnownNames,
                             const std::string &Fallback) {
  const auto Nearest = nearestName(Word, KnownNames);
  return Nearest ? "did you mean \"" + *Nearest + "\"? Otherwise, " + Fallback
                 : Fallback;
}

/// Addresses are numeric, because resolving a name would block the event loop.
std::string readAddress(JsonReader &Reader, const JsonNode &Node,
                        const std::string &Path) {
  std::string Address = Reader.readString(Node, Path);
  in_addr BinaryAddress{};
  if (inet_pton(AF_INET, Address.c_str(), &BinaryAddress) != 1)
    Reader.fail(ErrorKind::OutOfRange, Node,
                Path + " is \"" + toPrintable(Address) +
                    "\", which is not a numeric IPv4 address",
                "write four numbers, such as 127.0.0.1");
  return Address;
}

} // namespace

SettingsReader::SettingsReader(JsonReader &Reader, const JsonNode &Root)
    : Reader(Reader), Root(Root) {}

Settings SettingsReader::read() {
  if (!Reader.checkObject(Root, "",
                          {"name", "data_centre", "http", "peer", "peers",
                           "voters", "data_folder", "cluster_key_file",
                           "tokens_folder", "hops", "limits"}))
    return ParsedSettings;
  ParsedSettings.Name = readRequiredName("name");
  ParsedSettings.DataCentre = readRequiredName("data_centre");
  ParsedSettings.Http = readRequiredEndpoint("http");
  ParsedSettings.Peer = readRequiredEndpoint("peer");
  ParsedSettings.ClusterKeyFile = readRequiredString("cluster_key_file");
  ParsedSettings.TokensFolder = readRequiredString("tokens_folder");
  if (const JsonNode *Folder = Root.find("data_folder"))
    ParsedSettings.DataFolder = Reader.readString(*Folder, "data_folder");
  if (const JsonNode *Node = Root.find("limits"))
    ParsedSettings.Limits = readLimits(Reader, *Node);
  readPeers();
  readVoters();
  readHops();
  checkDataFolder();
  return std::move(ParsedSettings);
}

std::string SettingsReader::readRequiredName(const std::string &Key) {
  const JsonNode *Node = Reader.requireMember(Root, "", Key);
  return Node == nullptr ? std::string() : Reader.readName(*Node, Key);
}

std::string SettingsReader::readRequiredString(const std::string &Key) {
  const JsonNode *Node = Reader.requireMember(Root, "", Key);
  return Node == nullptr ? std::string() : Reader.readString(*Node, Key);
}

Endpoint SettingsReader::readEndpoint(const JsonNode &Node,
                                      const std::string &Path) {
  Endpoint ParsedEndpoint;
  if (const JsonNode *Address = Reader.requireMember(Node, Path, "address"))
    ParsedEndpoint.Address =
        readAddress(Reader, *Address, joinPath(Path, "address"));
  if (const JsonNode *Port = Reader.requireMember(Node, Path, "port"))
    ParsedEndpoint.Port = static_cast<uint16_t>(
        Reader.readInteger(*Port, joinPath(Path, "port"), {1, 65535, ""}));
  return ParsedEndpoint;
}

Endpoint SettingsReader::readRequiredEndpoint(const std::string &Key) {
  const JsonNode *Node = Reader.requireMember(Root, "", Key);
  if (Node == nullptr || !Reader.checkObject(*Node, Key, {"address", "port"}))
    return {};
  return readEndpoint(*Node, Key);
}

void SettingsReader::readPeers() {
  const JsonNode *List = Root.find("peers");
  if (List == nullptr ||
      !Reader.checkType(*List, "peers", JsonNode::Kind::List, "a list"))
    return;
  for (std::size_t I = 0; I < List->Items.size(); ++I)
    readPeer(List->Items[I], elementPath("peers", I));
  std::ranges::copy_if(ListedPeers, std::back_inserter(ParsedSettings.Peers),
                       [this](const PeerSettings &Peer) {
                         return Peer.Name != ParsedSettings.Name;
                       });
}

void SettingsReader::readPeer(const JsonNode &Node, const std::string &Path) {
  if (!Reader.checkObject(Node, Path,
                          {"name", "data_centre", "address", "port", "http"}))
    return;
  PeerSettings Peer;
  if (const JsonNode *Name = Reader.requireMember(Node, Path, "name"))
    Peer.Name = Reader.readName(*Name, joinPath(Path, "name"));
  if (const JsonNode *DataCentre =
          Reader.requireMember(Node, Path, "data_centre"))
    Peer.DataCentre =
        Reader.readName(*DataCentre, joinPath(Path, "data_centre"));
  Peer.Address = readEndpoint(Node, Path);
  const std::string HttpPath = joinPath(Path, "http");
  if (const JsonNode *Http = Node.find("http");
      Http != nullptr &&
      Reader.checkObject(*Http, HttpPath, {"address", "port"}))
    Peer.Http = readEndpoint(*Http, HttpPath);
  checkPeer(Node, Peer);
  ListedPeers.push_back(std::move(Peer));
}

void SettingsReader::checkPeer(const JsonNode &Node, const PeerSettings &Peer) {
  const bool IsThisVm = Peer.Name == ParsedSettings.Name;
  const std::string PeerLabel =
      IsThisVm ? "this VM, \"" + Peer.Name + "\"," : "\"" + Peer.Name + "\"";
  const auto HasSameName = [&Peer](const PeerSettings &Other) {
    return Other.Name == Peer.Name;
  };
  const auto HasSameAddress = [&Peer](const PeerSettings &Other) {
    return Other.Address == Peer.Address;
  };
  if (std::ranges::any_of(ListedPeers, HasSameName))
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers names " + PeerLabel + " twice",
                "remove one of the two entries");
  if (std::ranges::any_of(ListedPeers, HasSameAddress))
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers gives \"" + Peer.Name +
                    "\" the address and port of another peer",
                "correct the address or the port");
  if (IsThisVm && Peer.DataCentre != ParsedSettings.DataCentre)
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers puts this VM, \"" + Peer.Name + "\", into \"" +
                    Peer.DataCentre + "\", but data_centre is \"" +
                    ParsedSettings.DataCentre + "\"",
                "make the two equal");
}

void SettingsReader::readVoters() {
  const JsonNode *List = Root.find("voters");
  if (List == nullptr ||
      !Reader.checkType(*List, "voters", JsonNode::Kind::List, "a list"))
    return;
  if (List->Items.size() > MaxVoters)
    Reader.fail(ErrorKind::OutOfRange, *List,
                "voters names " + std::to_string(List->Items.size()) +
                    " VMs, but at most " + std::to_string(MaxVoters) +
                    " are allowed",
                "name 3 or 5 VMs that have a disk");
  for (std::size_t I = 0; I < List->Items.size(); ++I) {
    const JsonNode &Node = List->Items[I];
    std::string Name = Reader.readName(Node, elementPath("voters", I));
    checkVoter(Node, Name);
    ParsedSettings.Voters.push_back(std::move(Name));
  }
}

void SettingsReader::checkVoter(const JsonNode &Node, const std::string &Name) {
  const std::vector<std::string> KnownNames = vmNames();
  if (std::ranges::find(KnownNames, Name) == KnownNames.end())
    Reader.fail(
        ErrorKind::Contradiction, Node,
        "voter \"" + Name + "\" is neither this VM nor one of peers",
        formatSuggestion(Name, KnownNames, "add it to peers or remove it"));
  if (std::ranges::find(ParsedSettings.Voters, Name) !=
      ParsedSettings.Voters.end())
    Reader.fail(ErrorKind::Contradiction, Node,
                "voters names \"" + Name + "\" twice",
                "remove one of the two entries");
}

void SettingsReader::readHops() {
  constexpr NumberRange HopRange{0, 10'000, "ms"};
  const JsonNode *Node = Root.find("hops");
  if (Node == nullptr ||
      !Reader.checkType(*Node, "hops", JsonNode::Kind::Object, "an object"))
    return;
  std::vector<std::string> KnownDataCentres{ParsedSettings.DataCentre};
  for (const PeerSettings &Peer : ListedPeers)
    KnownDataCentres.push_back(Peer.DataCentre);
  for (const JsonNode &HopNode : Node->Items) {
    const std::string Path = joinPath("hops", toPrintable(HopNode.Key));
    if (std::ranges::find(KnownDataCentres, HopNode.Key) ==
        KnownDataCentres.end())
      Reader.fail(ErrorKind::UnknownSetting, HopNode,
                  Path + " names a data centre that no VM is in",
                  formatSuggestion(toPrintable(HopNode.Key), KnownDataCentres,
                                   "remove it or add its VMs"));
    ParsedSettings.HopDelays[HopNode.Key] =
        Reader.readMilliseconds(HopNode, Path, HopRange);
  }
}

void SettingsReader::checkDataFolder() {
  const bool IsVoter =
      std::ranges::find(ParsedSettings.Voters, ParsedSettings.Name) !=
      ParsedSettings.Voters.end();
  if (IsVoter && !ParsedSettings.DataFolder)
    Reader.fail(ErrorKind::MissingKey, *Root.find("voters"),
                "this VM, \"" + ParsedSettings.Name +
                    "\", is a voter, but data_folder is missing",
                "add data_folder or remove the VM from voters");
}

std::vector<std::string> SettingsReader::vmNames() const {
  std::vector<std::string> Names{ParsedSettings.Name};
  for (const PeerSettings &Peer : ParsedSettings.Peers)
    Names.push_back(Peer.Name);
  return Names;
}

} // namespace sapphiremoor
