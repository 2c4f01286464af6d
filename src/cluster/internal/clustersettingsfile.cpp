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

/// Key of links where the network itself is trusted; it authenticates nobody.
constexpr const char *TrustedNetworkKey = "trusted-network";

/// Reads typed values and keeps the first error.
class SettingsObject {
public:
  SettingsObject(const json &Root, std::string FileName)
      : Root(Root), FileName(std::move(FileName)) {}

  std::string text(const std::string &Key, bool Required) {
    const json *Value = find(Key, Required);
    if (Value == nullptr)
      return {};
    if (!Value->is_string())
      return fail<std::string>(ErrorKind::BadRequest, Key + " is not a text",
                               "write it in quotes");
    return Value->get<std::string>();
  }

  bool flag(const std::string &Key) {
    const json *Value = find(Key, false);
    if (Value == nullptr)
      return false;
    if (!Value->is_boolean())
      return fail<bool>(ErrorKind::BadRequest, Key + " is not true or false",
                        "write true or false");
    return Value->get<bool>();
  }

  double number(const std::string &Key, double Otherwise, double Low,
                double High) {
    const json *Value = find(Key, false);
    if (Value == nullptr)
      return Otherwise;
    if (!Value->is_number())
      return fail<double>(ErrorKind::BadRequest, Key + " is not a number",
                          "write a number without quotes");
    const double Number = Value->get<double>();
    if (Number < Low || Number > High)
      return fail<double>(ErrorKind::OutOfRange,
                          Key + " is " + Value->dump() + ", out of range",
                          "choose a value from " + std::to_string(Low) +
                              " to " + std::to_string(High));
    return Number;
  }

  std::optional<Endpoint> endpoint(const std::string &Key, bool Required) {
    const std::string Text = text(Key, Required);
    if (Text.empty())
      return std::nullopt;
    return endpointOf(Key, Text);
  }

  std::vector<Endpoint> endpoints(const std::string &Key) {
    const json *Value = find(Key, true);
    std::vector<Endpoint> Read;
    if (Value == nullptr)
      return Read;
    if (!Value->is_array())
      return fail<std::vector<Endpoint>>(ErrorKind::BadRequest,
                                         Key + " is not a list",
                                         "write a list of addresses");
    for (const json &Each : *Value) {
      if (!Each.is_string())
        return fail<std::vector<Endpoint>>(ErrorKind::BadRequest,
                                           Key + " holds a value that is no "
                                                 "text",
                                           "write a list of addresses");
      if (const auto At = endpointOf(Key, Each.get<std::string>()))
        Read.push_back(*At);
    }
    return Read;
  }

  void reject(ErrorKind Kind, const std::string &Message,
              const std::string &Remedy) {
    fail<bool>(Kind, Message, Remedy);
  }
  const std::optional<Error> &failure() const { return Failure; }

private:
  const json *find(const std::string &Key, bool Required) {
    const auto Found = Root.find(Key);
    if (Found != Root.end() && !Found->is_null())
      return &*Found;
    if (Required)
      fail<bool>(ErrorKind::MissingKey, "the setting " + Key + " is missing",
                 "add it to the file");
    return nullptr;
  }

  std::optional<Endpoint> endpointOf(const std::string &Key,
                                     const std::string &Text) {
    const Result<Endpoint> Parsed = parseEndpoint(Text);
    if (!isError(Parsed))
      return valueOf(Parsed);
    fail<bool>(errorOf(Parsed).Kind, Key + ": " + errorOf(Parsed).Message,
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

MemberRole roleOf(SettingsObject &Of) {
  const std::string Name = Of.text("role", true);
  if (Name == "control")
    return MemberRole::Control;
  if (Name != "entry")
    Of.reject(ErrorKind::OutOfRange, "role is \"" + Name + "\"",
              "write \"entry\" or \"control\"");
  return MemberRole::Entry;
}

std::string clusterKey(SettingsObject &Of) {
  const std::string File = Of.text("cluster_key_file", false);
  if (File.empty() && Of.flag("trusted_network"))
    return TrustedNetworkKey;
  if (File.empty()) {
    Of.reject(ErrorKind::Contradiction,
              "links between VMs would not be authenticated",
              "set cluster_key_file, or trusted_network if nobody else can "
              "reach the VMs");
    return {};
  }
  const Result<std::string> Read = readSecretFile(File);
  if (!isError(Read))
    return valueOf(Read);
  Of.reject(errorOf(Read).Kind, errorOf(Read).Message, errorOf(Read).Remedy);
  return {};
}

Duration seconds(double Count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Count));
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const Error Malformed{ErrorKind::OutOfRange,
                        "\"" + Text + "\" is not an address with a port",
                        "write four numbers and a port, such as "
                        "127.0.0.1:7720"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Malformed;
  Endpoint Parsed{Text.substr(0, Colon), 0};
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] =
      std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  in_addr Address{};
  if (Code != std::errc() || Last != End || Parsed.Port == 0 ||
      inet_pton(AF_INET, Parsed.Address.c_str(), &Address) != 1)
    return Malformed;
  return Parsed;
}

Result<ClusterSettings> parseClusterSettings(std::string_view Text,
                                             const std::string &FileName) {
  const json Root = json::parse(Text, nullptr, false, true);
  if (Root.is_discarded() || !Root.is_object())
    return Error{ErrorKind::BadJson, FileName + " is not a JSON object",
                 "check commas, quotes and braces"};
  SettingsObject Of(Root, FileName);
  ClusterSettings Read;
  Read.Name = Of.text("name", true);
  Read.DataCentre = Of.text("data_centre", true);
  Read.Role = roleOf(Of);
  Read.Peer = Of.endpoint("peer", true).value_or(Endpoint{});
  Read.Advertised = Of.endpoint("advertised_peer", false).value_or(Read.Peer);
  Read.Seeds = Of.endpoints("seeds");
  const auto SeedPort =
      static_cast<uint16_t>(Of.number("seed_port", 0, 0, 65535));
  if (SeedPort != 0)
    for (Endpoint &Each : Read.Seeds)
      Each.Port = SeedPort;
  const bool Entry = Read.Role == MemberRole::Entry;
  Read.Front = Of.endpoint("front", Entry);
  Read.Ready = Of.endpoint("ready", Entry);
  Read.Control = Of.endpoint("control", !Entry);
  Read.Metrics = Of.endpoint("metrics", false);
  Read.DataFolder = Of.text("data_folder", !Entry);
  Read.FirstStart = Of.flag("first_start");
  Read.ToleratedLosses =
      static_cast<std::size_t>(Of.number("tolerated_losses", 1, 0, 100));
  Read.ClusterKey = clusterKey(Of);
  Read.TrustedNetwork = Read.ClusterKey == TrustedNetworkKey;
  Read.StopLimit = seconds(Of.number("stop_limit_s", 6, 0.1, 3600));
  Read.LongestLease =
      seconds(Of.number("longest_lease_ms", 1000, 10, 3.6e6) / 1000);
  if (Of.failure())
    return *Of.failure();
  return Read;
}

Result<ClusterSettings> loadClusterSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File || Text.str().empty())
    return Error{ErrorKind::NotFound, "cannot read the settings file " + Path,
                 "check the path and its permissions"};
  return parseClusterSettings(Text.str(), Path);
}

} // namespace sapphiremoor
