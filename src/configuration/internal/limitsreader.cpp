#include "configuration/internal/limitsreader.h"

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphiremoor {

namespace {

/// The member of Limits that stores a setting. Its type selects the conversion.
using LimitMember =
    std::variant<uint32_t Limits::*, std::size_t Limits::*, Duration Limits::*>;

struct LimitRule {
  std::string_view Name;
  LimitMember Member;
  NumberRange Range;
};

constexpr double KiB = 1024;
constexpr double MiB = 1024 * KiB;
constexpr double MinuteMs = 60'000;
constexpr double HourMs = 60 * MinuteMs;

const auto LimitRules = std::to_array<LimitRule>({
    {"max_tasks", &Limits::MaxTasks, {1, 1600, "tasks"}},
    {"body_bytes", &Limits::BodyBytes, {KiB, 8 * MiB, "bytes"}},
    {"header_bytes", &Limits::HeaderBytes, {KiB, MiB, "bytes"}},
    {"header_timeout_ms", &Limits::HeaderTimeout, {100, MinuteMs, "ms"}},
    {"queue_tasks", &Limits::QueueTasks, {1, 1'000'000, "tasks"}},
    {"answers_ms", &Limits::AnswerLifetime, {1000, 24 * HourMs, "ms"}},
    {"answers_bytes", &Limits::AnswersBytes, {MiB, 1024 * MiB, "bytes"}},
    {"prefix_ms", &Limits::PrefixLifetime, {1000, 24 * HourMs, "ms"}},
    {"heartbeat_ms", &Limits::HeartbeatInterval, {50, 10'000, "ms"}},
    {"peer_silent_ms", &Limits::PeerSilenceLimit, {150, MinuteMs, "ms"}},
    {"claim_timeout_ms", &Limits::ClaimTimeout, {10, 10'000, "ms"}},
    {"connect_timeout_ms", &Limits::ConnectTimeout, {10, 10'000, "ms"}},
    {"idle_connection_ms",
     &Limits::IdleConnectionTimeout,
     {10, MinuteMs, "ms"}},
    {"task_timeout_ms", &Limits::TaskTimeout, {100, 10 * MinuteMs, "ms"}},
});

std::vector<std::string> limitNames() {
  std::vector<std::string> Names;
  Names.reserve(LimitRules.size());
  for (const LimitRule &Rule : LimitRules)
    Names.emplace_back(Rule.Name);
  return Names;
}

struct LimitSetter {
  JsonReader &Reader;
  const JsonNode &Node;
  const std::string &Path;
  const NumberRange &Range;
  Limits &Target;

  void operator()(Duration Limits::*Member) const {
    Target.*Member = Reader.readMilliseconds(Node, Path, Range);
  }
  template <typename T> void operator()(T Limits::*Member) const {
    Target.*Member = static_cast<T>(Reader.readInteger(Node, Path, Range));
  }
};

} // namespace

Limits readLimits(JsonReader &Reader, const JsonNode &Node) {
  Limits ParsedLimits;
  if (!Reader.checkObject(Node, "limits", limitNames()))
    return ParsedLimits;
  for (const LimitRule &Rule : LimitRules) {
    const JsonNode *Value = Node.find(Rule.Name);
    const std::string Path = joinPath("limits", std::string(Rule.Name));
    if (Value != nullptr)
      std::visit(LimitSetter{Reader, *Value, Path, Rule.Range, ParsedLimits},
                 Rule.Member);
  }
  // A single lost heartbeat must not make a peer appear silent.
  if (ParsedLimits.PeerSilenceLimit < 2 * ParsedLimits.HeartbeatInterval)
    Reader.fail(ErrorKind::OutOfRange, Node,
                "limits.peer_silent_ms is less than twice heartbeat_ms",
                "raise peer_silent_ms or lower heartbeat_ms");
  return ParsedLimits;
}

} // namespace sapphiremoor
