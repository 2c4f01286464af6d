#include "configuration/internal/settingsreader.h"

#include "configuration/internal/limitsreader.h"
#include "configuration/internal/shown.h"
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

std::string suggestion(const std::string &Word,
                       const std::vector<std::string> &Known,
                       const std::string &Otherwise) {
  const auto Nearest = nearestName(Word, Known);
  return Nearest ? "did you mean \"" + *Nearest + "\"? Otherwise, " + Otherwise
                 : Otherwise;
}

/// Addresses are numeric, because resolving a name would block the event loop.
std::string readAddress(JsonReader &Reader, const JsonNode &Node,
                        const std::string &Path) {
  std::string Address = Reader.readText(Node, Path);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) != 1)
    Reader.fail(ErrorKind::OutOfRange, Node,
                Path + " is \"" + shown(Address) +
                    "\", which is not a numeric IPv4 address",
                "write four numbers, such as 127.0.0.1");
  return Address;
}

} // namespace

SettingsReader::SettingsReader(JsonReader &Reader, const JsonNode &Root)
    : Reader(Reader), Root(Root) {}

Settings SettingsReader::read() {
  if (!Reader.isObject(Root, "",
                       {"name", "data_centre", "http", "peer", "peers",
                        "voters", "data_folder", "cluster_key_file",
                        "tokens_folder", "hops", "limits"}))
    return Parsed;
  Parsed.Name = requiredName("name");
  Parsed.DataCentre = requiredName("data_centre");
  Parsed.Http = requiredEndpoint("http");
  Parsed.Peer = requiredEndpoint("peer");
  Parsed.ClusterKeyFile = requiredText("cluster_key_file");
  Parsed.TokensFolder = requiredText("tokens_folder");
  if (const JsonNode *Folder = Root.find("data_folder"))
    Parsed.DataFolder = Reader.readText(*Folder, "data_folder");
  if (const JsonNode *Node = Root.find("limits"))
    Parsed.Limits = readLimits(Reader, *Node);
  readPeers();
  readVoters();
  readHops();
  checkDataFolder();
  return std::move(Parsed);
}

std::string SettingsReader::requiredName(const std::string &Key) {
  const JsonNode *Node = Reader.require(Root, "", Key);
  return Node == nullptr ? std::string() : Reader.readName(*Node, Key);
}

std::string SettingsReader::requiredText(const std::string &Key) {
  const JsonNode *Node = Reader.require(Root, "", Key);
  return Node == nullptr ? std::string() : Reader.readText(*Node, Key);
}

Endpoint SettingsReader::readEndpoint(const JsonNode &Node,
                                      const std::string &Path) {
  Endpoint Read;
  if (const JsonNode *Address = Reader.require(Node, Path, "address"))
    Read.Address = readAddress(Reader, *Address, pathTo(Path, "address"));
  if (const JsonNode *Port = Reader.require(Node, Path, "port"))
    Read.Port = static_cast<uint16_t>(
        Reader.readInteger(*Port, pathTo(Path, "port"), {1, 65535, ""}));
  return Read;
}

Endpoint SettingsReader::requiredEndpoint(const std::string &Key) {
  const JsonNode *Node = Reader.require(Root, "", Key);
  if (Node == nullptr || !Reader.isObject(*Node, Key, {"address", "port"}))
    return {};
  return readEndpoint(*Node, Key);
}

void SettingsReader::readPeers() {
  const JsonNode *List = Root.find("peers");
  if (List == nullptr ||
      !Reader.isType(*List, "peers", JsonNode::Kind::List, "a list"))
    return;
  for (std::size_t I = 0; I < List->Items.size(); ++I)
    readPeer(List->Items[I], elementPath("peers", I));
  std::ranges::copy_if(
      Listed, std::back_inserter(Parsed.Peers),
      [this](const PeerSettings &Peer) { return Peer.Name != Parsed.Name; });
}

void SettingsReader::readPeer(const JsonNode &Node, const std::string &Path) {
  if (!Reader.isObject(Node, Path,
                       {"name", "data_centre", "address", "port", "http"}))
    return;
  PeerSettings Peer;
  if (const JsonNode *Name = Reader.require(Node, Path, "name"))
    Peer.Name = Reader.readName(*Name, pathTo(Path, "name"));
  if (const JsonNode *DataCentre = Reader.require(Node, Path, "data_centre"))
    Peer.DataCentre = Reader.readName(*DataCentre, pathTo(Path, "data_centre"));
  Peer.Address = readEndpoint(Node, Path);
  const std::string HttpPath = pathTo(Path, "http");
  if (const JsonNode *Http = Node.find("http");
      Http != nullptr && Reader.isObject(*Http, HttpPath, {"address", "port"}))
    Peer.Http = readEndpoint(*Http, HttpPath);
  checkPeer(Node, Peer);
  Listed.push_back(std::move(Peer));
}

void SettingsReader::checkPeer(const JsonNode &Node, const PeerSettings &Peer) {
  const bool IsSelf = Peer.Name == Parsed.Name;
  const std::string Whose =
      IsSelf ? "this VM, \"" + Peer.Name + "\"," : "\"" + Peer.Name + "\"";
  const auto IsNamed = [&Peer](const PeerSettings &Other) {
    return Other.Name == Peer.Name;
  };
  const auto IsThere = [&Peer](const PeerSettings &Other) {
    return Other.Address == Peer.Address;
  };
  if (std::ranges::any_of(Listed, IsNamed))
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers names " + Whose + " twice",
                "remove one of the two entries");
  if (std::ranges::any_of(Listed, IsThere))
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers gives \"" + Peer.Name +
                    "\" the address and port of another peer",
                "correct the address or the port");
  if (IsSelf && Peer.DataCentre != Parsed.DataCentre)
    Reader.fail(ErrorKind::Contradiction, Node,
                "peers puts this VM, \"" + Peer.Name + "\", into \"" +
                    Peer.DataCentre + "\", but data_centre is \"" +
                    Parsed.DataCentre + "\"",
                "make the two equal");
}

void SettingsReader::readVoters() {
  const JsonNode *List = Root.find("voters");
  if (List == nullptr ||
      !Reader.isType(*List, "voters", JsonNode::Kind::List, "a list"))
    return;
  if (List->Items.size() > MaxVoters)
    Reader.fail(ErrorKind::OutOfRange, *List,
                "voters names " + std::to_string(List->Items.size()) +
                    " VMs, allowed are at most " + std::to_string(MaxVoters),
                "name 3 or 5 VMs that have a disk");
  for (std::size_t I = 0; I < List->Items.size(); ++I) {
    const JsonNode &Node = List->Items[I];
    std::string Name = Reader.readName(Node, elementPath("voters", I));
    checkVoter(Node, Name);
    Parsed.Voters.push_back(std::move(Name));
  }
}

void SettingsReader::checkVoter(const JsonNode &Node, const std::string &Name) {
  const std::vector<std::string> Known = vmNames();
  if (std::ranges::find(Known, Name) == Known.end())
    Reader.fail(ErrorKind::Contradiction, Node,
                "voter \"" + Name + "\" is neither this VM nor one of peers",
                suggestion(Name, Known, "add it to peers or remove it"));
  if (std::ranges::find(Parsed.Voters, Name) != Parsed.Voters.end())
    Reader.fail(ErrorKind::Contradiction, Node,
                "voters names \"" + Name + "\" twice",
                "remove one of the two entries");
}

void SettingsReader::readHops() {
  constexpr NumberRange HopRange{0, 10'000, "ms"};
  const JsonNode *Node = Root.find("hops");
  if (Node == nullptr ||
      !Reader.isType(*Node, "hops", JsonNode::Kind::Object, "an object"))
    return;
  std::vector<std::string> Known{Parsed.DataCentre};
  for (const PeerSettings &Peer : Listed)
    Known.push_back(Peer.DataCentre);
  for (const JsonNode &Hop : Node->Items) {
    const std::string Path = pathTo("hops", shown(Hop.Key));
    if (std::ranges::find(Known, Hop.Key) == Known.end())
      Reader.fail(
          ErrorKind::UnknownSetting, Hop,
          Path + " names a data centre that no VM is in",
          suggestion(shown(Hop.Key), Known, "remove it or add its VMs"));
    Parsed.Hops[Hop.Key] = Reader.readMilliseconds(Hop, Path, HopRange);
  }
}

void SettingsReader::checkDataFolder() {
  const bool IsVoter =
      std::ranges::find(Parsed.Voters, Parsed.Name) != Parsed.Voters.end();
  if (IsVoter && !Parsed.DataFolder)
    Reader.fail(ErrorKind::MissingKey, *Root.find("voters"),
                "this VM, \"" + Parsed.Name +
                    "\", is a voter, but data_folder is missing",
                "add data_folder or remove the VM from voters");
}

std::vector<std::string> SettingsReader::vmNames() const {
  std::vector<std::string> Names{Parsed.Name};
  for (const PeerSettings &Peer : Parsed.Peers)
    Names.push_back(Peer.Name);
  return Names;
}

} // namespace sapphiremoor
