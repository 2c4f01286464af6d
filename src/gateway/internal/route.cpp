#include "gateway/route.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <ranges>
#include <string_view>
#include <vector>

namespace sapphiremoor {

namespace {

constexpr Duration MaxWait = std::chrono::minutes(10);
constexpr std::size_t MaxRequestIdBytes = 100;

using Segments = std::vector<std::string>;

Segments splitPath(std::string_view Path) {
  Segments Parts;
  // GCC 11 has no common iterators for the parts, so a string cannot be made
  // of a pair of them.
  for (const auto Part : std::views::split(Path, '/'))
    std::ranges::copy(Part, std::back_inserter(Parts.emplace_back()));
  // The path starts with '/', so the first part is empty.
  if (!Parts.empty())
    Parts.erase(Parts.begin());
  return Parts;
}

Error notFound(const HttpRequest &Request) {
  return {ErrorKind::NotFound,
          "unknown path, or unsupported method for the path " +
              Request.Path.substr(0, 100),
          "see docs/callers.md and docs/operators.md for the interface"};
}

Error missingKey() {
  return {ErrorKind::MissingKey, "the path of the request contains no key",
          "obtain a prefix with POST /v1/prefixes, append '.' and a number of "
          "your own, and put the key in the path"};
}

std::optional<uint64_t> parseNumber(const std::string &Text) {
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || ParsedEnd != End || Text.empty())
    return std::nullopt;
  return Value;
}

Result<std::optional<Duration>> parseWait(const HttpRequest &Request) {
  const auto WaitIt = Request.Query.find("wait_ms");
  if (WaitIt == Request.Query.end())
    return std::optional<Duration>();
  const auto WaitMs = parseNumber(WaitIt->second);
  const auto MaxMs = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxWait).count());
  if (!WaitMs || *WaitMs > MaxMs)
    return Error{ErrorKind::OutOfRange,
                 "wait_ms must be a number of milliseconds from 0 to " +
                     std::to_string(MaxMs),
                 "leave it out to wait until the deadline of the job"};
  return std::optional<Duration>(
      std::chrono::milliseconds(static_cast<int64_t>(*WaitMs)));
}

Result<Command> routeSubmit(const HttpRequest &Request, const std::string &Key,
                            bool Single) {
  const auto Wait = parseWait(Request);
  if (isError(Wait))
    return errorOf(Wait);
  return Command(SubmitCommand{Key, Single, valueOf(Wait)});
}

Result<Command> routeFetch(const HttpRequest &Request, const std::string &Key) {
  const auto Wait = parseWait(Request);
  if (isError(Wait))
    return errorOf(Wait);
  return Command(FetchCommand{Key, valueOf(Wait)});
}

Result<Command> routeJobs(const HttpRequest &Request, const Segments &Parts) {
  const bool Single = Parts[1] == "requests";
  if (Parts.size() == 2 || Parts[2].empty()) {
    if (Single && Request.Method == HttpMethod::Post)
      return Command(RunIdempotentCommand{});
    return missingKey();
  }
  if (Parts.size() != 3)
    return notFound(Request);
  switch (Request.Method) {
  case HttpMethod::Post:
    return routeSubmit(Request, Parts[2], Single);
  case HttpMethod::Get:
    return routeFetch(Request, Parts[2]);
  case HttpMethod::Delete:
    return Command(CancelCommand{Parts[2]});
  default:
    return notFound(Request);
  }
}

Result<Command> routeFileChange(const HttpRequest &Request,
                                const std::string &Name) {
  const auto RevisionIt = Request.Query.find("expected_revision");
  const auto RequestIdIt = Request.Query.find("request_id");
  const auto Revision = RevisionIt == Request.Query.end()
                            ? std::nullopt
                            : parseNumber(RevisionIt->second);
  if (!Revision)
    return Error{ErrorKind::BadRequest,
                 "expected_revision must be the revision that the change is "
                 "based on",
                 "read it with GET /v1/config"};
  if (RequestIdIt == Request.Query.end() || RequestIdIt->second.empty() ||
      RequestIdIt->second.size() > MaxRequestIdBytes)
    return Error{ErrorKind::BadRequest,
                 "request_id must be 1 to 100 characters",
                 "choose a new one for each change and reuse it when you "
                 "resend the change"};
  return Command(ChangeConfigCommand{Name, Request.Method == HttpMethod::Delete,
                                     *Revision, RequestIdIt->second});
}

Result<Command> routeConfig(const HttpRequest &Request, const Segments &Parts) {
  const bool IsGet = Request.Method == HttpMethod::Get;
  if (IsGet && Parts.size() == 2)
    return Command(ShowConfigCommand{false});
  if (IsGet && Parts.size() == 3 && Parts[2] == "history")
    return Command(ShowConfigCommand{true});
  const bool IsChange = Request.Method == HttpMethod::Post ||
                        Request.Method == HttpMethod::Delete;
  if (IsChange && Parts.size() == 4 && Parts[2] == "files")
    return routeFileChange(Request, Parts[3]);
  if (IsChange && Parts.size() == 4 && Parts[2] == "voters")
    return Command(
        ChangeVoterCommand{Parts[3], Request.Method == HttpMethod::Delete});
  return notFound(Request);
}

Result<Command> routeOperator(const HttpRequest &Request,
                              const Segments &Parts) {
  const bool IsGet = Request.Method == HttpMethod::Get;
  if (IsGet && Parts.size() == 2 && Parts[1] == "status")
    return Command(ShowStatusCommand{});
  if (IsGet && Parts.size() == 2 && Parts[1] == "metrics")
    return Command(ShowMetricsCommand{});
  if (IsGet && Parts.size() == 2 && Parts[1] == "burn") {
    const auto Format = Request.Query.find("format");
    return Command(ShowBurnCommand{
        Format == Request.Query.end() ? "json" : Format->second});
  }
  const bool IsChange = Request.Method == HttpMethod::Post ||
                        Request.Method == HttpMethod::Delete;
  if (IsChange && Parts.size() == 3 && Parts[1] == "drain")
    return Command(
        DrainCommand{Parts[2], Request.Method == HttpMethod::Delete});
  return notFound(Request);
}

Result<Command> routeBackends(const HttpRequest &Request,
                              const Segments &Parts) {
  if (Parts.size() != 3 || Parts[2].empty())
    return notFound(Request);
  if (Request.Method == HttpMethod::Post)
    return Command(AnnounceCommand{Parts[2]});
  if (Request.Method == HttpMethod::Delete)
    return Command(LeaveCommand{Parts[2]});
  return notFound(Request);
}

} // namespace

Result<Command> routeRequest(const HttpRequest &Request) {
  const Segments Parts = splitPath(Request.Path);
  if (Parts.size() < 2 || Parts[0] != "v1")
    return notFound(Request);
  if (Parts[1] == "prefixes" && Parts.size() == 2 &&
      Request.Method == HttpMethod::Post)
    return Command(IssuePrefixCommand{});
  if (Parts[1] == "jobs" || Parts[1] == "requests")
    return routeJobs(Request, Parts);
  if (Parts[1] == "config")
    return routeConfig(Request, Parts);
  if (Parts[1] == "backends")
    return routeBackends(Request, Parts);
  return routeOperator(Request, Parts);
}

Role requiredRole(const Command &RoutedCommand) {
  if (std::holds_alternative<AnnounceCommand>(RoutedCommand) ||
      std::holds_alternative<LeaveCommand>(RoutedCommand))
    return Role::Backend;
  if (std::holds_alternative<IssuePrefixCommand>(RoutedCommand) ||
      std::holds_alternative<SubmitCommand>(RoutedCommand) ||
      std::holds_alternative<RunIdempotentCommand>(RoutedCommand) ||
      std::holds_alternative<FetchCommand>(RoutedCommand) ||
      std::holds_alternative<CancelCommand>(RoutedCommand))
    return Role::Caller;
  return Role::Operator;
}

} // namespace sapphiremoor
