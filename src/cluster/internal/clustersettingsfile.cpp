#include "cluster/clustersettingsfile.h"

#include "framework/codec/crypto.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace sapphiremoor {

namespace {

using nlohmann::json;

/// Link key for trusted networks. It is no secret, so it authenticates nobody.
constexpr const char *TrustedNetworkKey = "trusted-network";

/// Reads typed values from the JSON object and keeps the first error.
class SettingsReader {
public:
  SettingsReader(const json &Root, std::string FileName)
      : Root(Root), FileName(std::move(FileName)) {}

  std::string text(const std::string &Key, bool Required) {
    const json *Value = find(Key, Required);
    if (Value == nullptr)
      return {};
    if (!Value->is_string())
      return fail<std::string>(ErrorKind::BadRequest,
                               "the setting " + Key + " is not a string",
                               "write it in quotes");
    return Value->get<std::string>();
  }

  bool flag(const std::string &Key) {
    const json *Value = find(Key, false);
    if (Value == nullptr)
      return false;
    if (!Value->is_boolean())
      return fail<bool>(ErrorKind::BadRequest,
                        "the setting " + Key + " is not a boolean",
                        "write true or false, without quotes");
    return Value->get<bool>();
  }

  double number(const std::string &Key, double Default, double Min,
                double Max) {
    const json *Value = find(Key, false);
    if (Value == nullptr)
      return Default;
    if (!Value->is_number())
      return fail<double>(ErrorKind::BadRequest,
                          "the setting " + Key + " is not a number",
                          "write a number without quotes");
    const double Number = Value->get<double>();
    if (Number < Min || Number > Max)
      return fail<double>(ErrorKind::OutOfRange,
                          "the setting " + Key + " is " + Value->dump() +
                              ", out of range",
                          "choose a value from " + std::to_string(Min) +
                              " to " + std::to_string(Max));
    return Number;
  }

  std::optional<Endpoint> endpoint(const std::string &Key, bool Required) {
    const std::string Text = text(Key, Required);
    if (Text.empty())
      return std::nullopt;
    return toEndpoint(Key, Text);
  }

  std::vector<Endpoint> endpoints(const std::string &Key) {
    const json *Value = find(Key, true);
    std::vector<Endpoint> Endpoints;
    if (Value == nullptr)
      return Endpoints;
    if (!Value->is_array())
      return fail<std::vector<Endpoint>>(
          ErrorKind::BadRequest, "the setting " + Key + " is not a list",
          "write a list of addresses, such as [\"127.0.0.1:7720\"]");
    for (const json &Item : *Value) {
      if (!Item.is_string())
        return fail<std::vector<Endpoint>>(
            ErrorKind::BadRequest,
            "the setting " + Key + " has an entry that is not a string",
            "write a list of addresses, such as [\"127.0.0.1:7720\"]");
      if (const auto Parsed = toEndpoint(Key, Item.get<std::string>()))
        Endpoints.push_back(*Parsed);
    }
    return Endpoints;
  }

  void reject(ErrorKind Kind, const std::string &Message,
              const std::string &Remedy) {
    fail<bool>(Kind, Message, Remedy);
  }
  const std::optional<Error> &failure() const { return Failure; }

private:
  const json *find(const std::string &Key, bool Required) {
    const auto It = Root.find(Key);
    if (It != Root.end() && !It->is_null())
      return &*It;
    if (Required)
      fail<bool>(ErrorKind::MissingKey, "the setting " + Key + " is missing",
                 "add it to the file");
    return nullptr;
  }

  std::optional<Endpoint> toEndpoint(const std::string &Key,
                                     const std::string &Text) {
    const Result<Endpoint> Parsed = parseEndpoint(Text);
    if (!isError(Parsed))
      return valueOf(Parsed);
    fail<bool>(errorOf(Parsed).Kind,
               "the setting " + Key + ": " + errorOf(Parsed).Message,
               errorOf(Parsed).Remedy);
    return std::nullopt;
  }

  template <typename T>
  T fail(ErrorKind Kind, const std::string &Message,
         const std::string &Remedy) {
    if (!Failure)
      Failure = Error{Kind, FileName + ": " + Message, Remedy};
    return T{};
  }

  const json &Root;
  std::string FileName;
  std::optional<Error> Failure;
};

MemberRole readRole(SettingsReader &Reader) {
  const std::string Name = Reader.text("role", true);
  if (Name == "control")
    return MemberRole::Control;
  if (Name != "entry")
    Reader.reject(ErrorKind::OutOfRange,
                  "the setting role is \"" + Name + "\", which is no role",
                  "write \"entry\" or \"control\"");
  return MemberRole::Entry;
}

std::string readClusterKey(SettingsReader &Reader) {
  const std::string File = Reader.text("cluster_key_file", false);
  if (File.empty() && Reader.flag("trusted_network"))
    return TrustedNetworkKey;
  if (File.empty()) {
    Reader.reject(ErrorKind::Contradiction,
                  "neither cluster_key_file nor trusted_network is set, so "
                  "links between VMs would not be authenticated",
                  "set cluster_key_file, or trusted_network if nobody else can "
                  "reach the VMs");
    return {};
  }
  const Result<std::string> Secret = readSecretFile(File);
  if (!isError(Secret))
    return valueOf(Secret);
  Reader.reject(errorOf(Secret).Kind, errorOf(Secret).Message,
                errorOf(Secret).Remedy);
  return {};
}

Duration seconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const Error Malformed{ErrorKind::OutOfRange,
                        "\"" + Text + "\" is not an IPv4 address with a port",
                        "write an IPv4 address and a port from 1 to 65535, "
                        "such as 127.0.0.1:7720"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Malformed;
  Endpoint Parsed{Text.substr(0, Colon), 0};
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Code] =
      std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  in_addr Address{};
  if (Code != std::errc() || ParsedEnd != End || Parsed.Port == 0 ||
      inet_pton(AF_INET, Parsed.Address.c_str(), &Address) != 1)
    return Malformed;
  return Parsed;
}

Result<ClusterSettings> parseClusterSettings(std::string_view Text,
                                             const std::string &FileName) {
  const json Root = json::parse(Text, nullptr, false, true);
  if (Root.is_discarded() || !Root.is_object())
    return Error{ErrorKind::BadJson, FileName + " is not a JSON object",
                 "check its commas, quotes and braces"};
  SettingsReader Reader(Root, FileName);
  ClusterSettings Settings;
  Settings.Name = Reader.text("name", true);
  Settings.DataCentre = Reader.text("data_centre", true);
  Settings.Role = readRole(Reader);
  Settings.Peer = Reader.endpoint("peer", true).value_or(Endpoint{});
  Settings.AdvertisedPeer =
      Reader.endpoint("advertised_peer", false).value_or(Settings.Peer);
  Settings.Seeds = Reader.endpoints("seeds");
  const auto SeedPort =
      static_cast<uint16_t>(Reader.number("seed_port", 0, 0, 65535));
  if (SeedPort != 0)
    for (Endpoint &Seed : Settings.Seeds)
      Seed.Port = SeedPort;
  const bool IsEntry = Settings.Role == MemberRole::Entry;
  Settings.Front = Reader.endpoint("front", IsEntry);
  Settings.Ready = Reader.endpoint("ready", IsEntry);
  Settings.Control = Reader.endpoint("control", !IsEntry);
  Settings.Metrics = Reader.endpoint("metrics", false);
  Settings.DataFolder = Reader.text("data_folder", !IsEntry);
  Settings.FirstStart = Reader.flag("first_start");
  Settings.ToleratedLosses =
      static_cast<std::size_t>(Reader.number("tolerated_losses", 1, 0, 100));
  Settings.ClusterKey = readClusterKey(Reader);
  Settings.TrustedNetwork = Settings.ClusterKey == TrustedNetworkKey;
  Settings.StopLimit = seconds(Reader.number("stop_limit_s", 6, 0.1, 3600));
  Settings.LongestLease =
      seconds(Reader.number("longest_lease_ms", 1000, 10, 3.6e6) / 1000);
  if (Reader.failure())
    return *Reader.failure();
  return Settings;
}

Result<ClusterSettings> loadClusterSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File || Text.str().empty())
    return Error{
        ErrorKind::NotFound,
        "the settings file " + Path + " cannot be read or is empty",
        "check the path, the permissions and the contents of the file"};
  return parseClusterSettings(Text.str(), Path);
}

} // namespace sapphiremoor
