#include "configuration/servicefiles.h"

#include "configuration/internal/configcache.h"
#include "configuration/internal/jsonreader.h"
#include "configuration/internal/printable.h"

#include <algorithm>

namespace sapphiremoor {

namespace {

constexpr std::size_t MaxFileNameBytes = 100;
constexpr NumberRange RunTimeRange{1, 60'000, "ms"};
constexpr NumberRange LatencyRange{1, 600'000, "ms"};
/// Less than 1, because an objective of 1 leaves no error budget to divide by.
constexpr NumberRange ObjectiveRange{0.5, 0.999999, ""};
constexpr NumberRange ShareRange{0.001, 1'000'000, ""};

bool isFileNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '_';
}

Weight readWeight(JsonReader &Reader, const JsonNode &Node,
                  const std::string &Path) {
  const std::string Name = Reader.readString(Node, Path);
  if (Name == "messages")
    return Weight::Messages;
  if (Name != "response_time")
    Reader.fail(ErrorKind::OutOfRange, Node,
                Path + " is \"" + toPrintable(Name) +
                    "\", but must be \"response_time\" or \"messages\"",
                "choose one of the two");
  return Weight::ResponseTime;
}

void readObjectives(JsonReader &Reader, const JsonNode &Node,
                    const std::string &Path, ServiceEntry &Entry) {
  if (!Reader.checkObject(Node, Path,
                          {"availability", "latency_ms", "latency_share"}))
    return;
  if (const JsonNode *Value = Node.find("availability"))
    Entry.Availability = Reader.readNumber(
        *Value, joinPath(Path, "availability"), ObjectiveRange);
  if (const JsonNode *Value = Node.find("latency_ms"))
    Entry.Latency = Reader.readMilliseconds(
        *Value, joinPath(Path, "latency_ms"), LatencyRange);
  if (const JsonNode *Value = Node.find("latency_share"))
    Entry.LatencyShare = Reader.readNumber(
        *Value, joinPath(Path, "latency_share"), ObjectiveRange);
}

ServiceEntry readService(JsonReader &Reader, const JsonNode &Node,
                         const std::string &Path) {
  ServiceEntry Entry;
  Entry.Location = Reader.location(Node);
  if (!Reader.checkObject(
          Node, Path,
          {"idempotent", "weight", "declared_ms", "objectives", "override"}))
    return Entry;
  if (const JsonNode *Value = Node.find("idempotent"))
    Entry.Idempotent = Reader.readBoolean(*Value, joinPath(Path, "idempotent"));
  if (const JsonNode *Value = Node.find("weight"))
    Entry.Preference = readWeight(Reader, *Value, joinPath(Path, "weight"));
  if (const JsonNode *Value = Node.find("declared_ms"))
    Entry.DeclaredRunTime = Reader.readMilliseconds(
        *Value, joinPath(Path, "declared_ms"), RunTimeRange);
  if (const JsonNode *Value = Node.find("objectives"))
    readObjectives(Reader, *Value, joinPath(Path, "objectives"), Entry);
  if (const JsonNode *Value = Node.find("override"))
    Entry.Override = Reader.readBoolean(*Value, joinPath(Path, "override"));
  return Entry;
}

TeamEntry readTeam(JsonReader &Reader, const JsonNode &Node,
                   const std::string &Path) {
  TeamEntry Entry;
  Entry.Location = Reader.location(Node);
  if (!Reader.checkObject(Node, Path, {"share", "override"}))
    return Entry;
  if (const JsonNode *Value = Node.find("share"))
    Entry.Share =
        Reader.readNumber(*Value, joinPath(Path, "share"), ShareRange);
  if (const JsonNode *Value = Node.find("override"))
    Entry.Override = Reader.readBoolean(*Value, joinPath(Path, "override"));
  return Entry;
}

/// Reads the object \p Key of \p Root, whose members \p ReadEntry reads.
template <typename Entry, typename Function>
void readEntries(JsonReader &Reader, const JsonNode &Root,
                 const std::string &Key, Function ReadEntry,
                 std::map<std::string, Entry> &Target) {
  const JsonNode *Object = Root.find(Key);
  if (Object == nullptr ||
      !Reader.checkType(*Object, Key, JsonNode::Kind::Object, "an object"))
    return;
  for (const JsonNode &Node : Object->Items) {
    if (Reader.checkName(Node, Node.Key, Key))
      Target[Node.Key] = ReadEntry(Reader, Node, joinPath(Key, Node.Key));
  }
}

} // namespace

Result<Done> checkFileName(const std::string &Name) {
  constexpr std::string_view Suffix = ".json";
  const std::string_view Stem = std::string_view(Name).substr(
      0, Name.size() - std::min(Suffix.size(), Name.size()));
  if (Name.size() <= MaxFileNameBytes && Name.ends_with(Suffix) &&
      !Stem.empty() && std::ranges::all_of(Stem, isFileNameCharacter))
    return Done{};
  return Error{ErrorKind::BadRequest,
               "\"" + toPrintable(Name) +
                   "\" is not a valid configuration file name",
               "use lower-case letters, digits, '-' and '_', end in \".json\", "
               "and use at most " +
                   std::to_string(MaxFileNameBytes) + " characters"};
}

Result<ServiceFile> parseServiceFile(std::string_view Text,
                                     const std::string &FileName) {
  const Result<Done> NameCheck = checkFileName(FileName);
  if (isError(NameCheck))
    return errorOf(NameCheck);
  if (Text.size() > MaxFileBytes)
    return Error{ErrorKind::TooLarge,
                 FileName + " has " + std::to_string(Text.size()) +
                     " bytes, but at most " + std::to_string(MaxFileBytes) +
                     " bytes are allowed",
                 "split it into several files"};
  const Result<JsonNode> ParsedJson = parseJson(Text, FileName);
  if (isError(ParsedJson))
    return errorOf(ParsedJson);
  JsonReader Reader(Text, FileName);
  const JsonNode &Root = valueOf(ParsedJson);
  ServiceFile File;
  File.TextBytes = Text.size();
  if (Reader.checkObject(Root, "", {"services", "teams"})) {
    readEntries(Reader, Root, "services", readService, File.Services);
    readEntries(Reader, Root, "teams", readTeam, File.Teams);
  }
  if (Reader.failure())
    return *Reader.failure();
  return File;
}

Result<ServiceConfig>
mergeConfiguration(const std::map<std::string, std::string> &Files) {
  Result<ConfigCache> Cache =
      buildCache({}, FileUpdates(Files.begin(), Files.end()));
  if (isError(Cache))
    return errorOf(Cache);
  return takeValue(std::move(Cache)).MergedConfig;
}

} // namespace sapphiremoor
