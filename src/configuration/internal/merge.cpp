#include "configuration/servicefiles.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphiremoor {

namespace {

bool isDeclaration(const ServiceEntry &Entry) {
  return Entry.Idempotent && Entry.Preference && Entry.DeclaredRunTime;
}

bool isDeclaration(const TeamEntry &Entry) { return Entry.Share.has_value(); }

template <typename T>
bool differ(const std::optional<T> &A, const std::optional<T> &B) {
  return A && B && *A != *B;
}

/// Returns the name of the first field that both entries set to different
/// values, or an empty text.
std::string differingField(const ServiceEntry &A, const ServiceEntry &B) {
  if (differ(A.Idempotent, B.Idempotent))
    return "idempotent";
  if (differ(A.Preference, B.Preference))
    return "weight";
  if (differ(A.DeclaredRunTime, B.DeclaredRunTime))
    return "declared_ms";
  if (differ(A.Availability, B.Availability))
    return "objectives.availability";
  if (differ(A.Latency, B.Latency))
    return "objectives.latency_ms";
  if (differ(A.LatencyShare, B.LatencyShare))
    return "objectives.latency_share";
  return {};
}

std::string differingField(const TeamEntry &A, const TeamEntry &B) {
  return differ(A.Share, B.Share) ? "share" : "";
}

template <typename T>
void take(std::optional<T> &Target, const std::optional<T> &Later) {
  if (Later)
    Target = Later;
}

void overlay(ServiceEntry &Target, const ServiceEntry &Later) {
  take(Target.Idempotent, Later.Idempotent);
  take(Target.Preference, Later.Preference);
  take(Target.DeclaredRunTime, Later.DeclaredRunTime);
  take(Target.Availability, Later.Availability);
  take(Target.Latency, Later.Latency);
  take(Target.LatencyShare, Later.LatencyShare);
}

void overlay(TeamEntry &Target, const TeamEntry &Later) {
  take(Target.Share, Later.Share);
}

/// Returns one bit for each field that \p Entry sets.
unsigned fieldsOf(const ServiceEntry &Entry) {
  unsigned Bits = 0;
  for (const bool IsSet :
       {Entry.Idempotent.has_value(), Entry.Preference.has_value(),
        Entry.DeclaredRunTime.has_value(), Entry.Availability.has_value(),
        Entry.Latency.has_value(), Entry.LatencyShare.has_value()})
    Bits = Bits * 2 + (IsSet ? 1 : 0);
  return Bits;
}

unsigned fieldsOf(const TeamEntry &Entry) { return Entry.Share ? 1 : 0; }

/// The merge of one service or team so far.
template <typename Entry> struct MergedEntry {
  Entry Fields;
  /// The last entry merged.
  const Entry *Last = nullptr;
  /// The declarations in force, which agree with each other. Of those that set
  /// the same fields only the first is kept, which bounds their number.
  std::vector<const Entry *> Declared;
};

/// Merges the entries of one kind ("service" or "team") over all files.
template <typename Entry> class EntryMerger {
public:
  explicit EntryMerger(std::string Kind) : Kind(std::move(Kind)) {}

  /// Adds the entries of the next file.
  void add(const std::map<std::string, Entry> &Entries) {
    for (const auto &[Name, Fields] : Entries) {
      MergedEntry<Entry> &Target = Merged[Name];
      if (isDeclaration(Fields))
        declare(Name, Fields, Target.Declared);
      overlay(Target.Fields, Fields);
      Target.LastEntry = &Fields;
    }
  }

  const std::map<std::string, MergedEntry<Entry>> &merged() const {
    return Merged;
  }
  const std::optional<Error> &failure() const { return Failure; }

private:
  void declare(const std::string &Name, const Entry &Fields,
               std::vector<const Entry *> &Declared) {
    if (Fields.Override)
      Declared.clear();
    for (const Entry *Earlier : Declared)
      compare(Name, *Earlier, Fields);
    const bool IsNew =
        std::ranges::none_of(Declared, [&Fields](const Entry *Earlier) {
          return fieldsOf(*Earlier) == fieldsOf(Fields);
        });
    if (IsNew)
      Declared.push_back(&Fields);
  }

  void compare(const std::string &Name, const Entry &Earlier,
               const Entry &Later) {
    const std::string Field = differingField(Earlier, Later);
    if (!Field.empty() && !Failure)
      Failure = Error{ErrorKind::Contradiction,
                      Later.Place + ": " + Kind + " \"" + Name + "\" sets \"" +
                          Field + "\" to another value than " + Earlier.Place +
                          " does",
                      "make the two equal, or add \"override\": true to the "
                      "later one"};
  }

  std::string Kind;
  std::map<std::string, MergedEntry<Entry>> Merged;
  std::optional<Error> Failure;
};

Result<ServiceSettings>
completeService(const std::string &Name,
                const MergedEntry<ServiceEntry> &Merge) {
  const ServiceEntry &Entry = Merge.Fields;
  const auto Missing = [&](const std::string &Field) {
    return Error{ErrorKind::MissingKey,
                 Merge.Last->Place + ": service \"" + Name + "\" has no \"" +
                     Field + "\" in any file",
                 "add \"" + Field + "\" to the service"};
  };
  if (!Entry.Idempotent)
    return Missing("idempotent");
  if (!Entry.Preference)
    return Missing("weight");
  if (!Entry.DeclaredRunTime)
    return Missing("declared_ms");
  const Objectives Defaults;
  return ServiceSettings{*Entry.Idempotent,
                         *Entry.Preference,
                         *Entry.DeclaredRunTime,
                         {Entry.Availability.value_or(Defaults.Availability),
                          Entry.Latency.value_or(Defaults.Latency),
                          Entry.LatencyShare.value_or(Defaults.LatencyShare)}};
}

} // namespace

Result<ServiceConfig> mergeServiceFiles(const ServiceFiles &Files) {
  EntryMerger<ServiceEntry> Services("service");
  EntryMerger<TeamEntry> Teams("team");
  for (const auto &[Name, File] : Files) {
    Services.add(File->Services);
    Teams.add(File->Teams);
  }
  if (Services.failure())
    return *Services.failure();
  if (Teams.failure())
    return *Teams.failure();
  if (Services.merged().empty())
    return Error{ErrorKind::NoService,
                 "the configuration files leave no service",
                 "keep or add a file that declares a service"};
  ServiceConfig Config;
  for (const auto &[Name, Entry] : Services.merged()) {
    Result<ServiceSettings> Service = completeService(Name, Entry);
    if (isError(Service))
      return errorOf(Service);
    Config.Services[Name] = takeValue(std::move(Service));
  }
  for (const auto &[Name, Entry] : Teams.merged())
    Config.Teams[Name] = TeamSettings{Entry.Fields.Share.value_or(1)};
  return Config;
}

} // namespace sapphiremoor
