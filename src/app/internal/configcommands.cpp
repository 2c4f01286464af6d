#include "app/client.h"
#include "app/commands.h"
#include "app/table.h"
#include "configuration/servicefiles.h"
#include "configuration/settingsfile.h"
#include "framework/core/random.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <iostream>
#include <optional>
#include <thread>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

struct ChangeOptions {
  std::vector<std::string> Files;
  std::optional<uint64_t> ExpectedRevision;
  bool Remove = false;
};

ExitCode checkFolder(const std::string &Folder) {
  std::map<std::string, std::string> Files;
  std::error_code Failure;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Folder, Failure)) {
    const Result<std::string> Text = readFile(Entry.path().string());
    if (isError(Text))
      return printError(errorOf(Text));
    Files[Entry.path().filename().string()] = valueOf(Text);
  }
  if (Failure)
    return printError({ErrorKind::NotFound, "cannot read the folder " + Folder,
                       "pass a readable folder of configuration files"});
  const Result<ServiceConfig> Merged = mergeConfiguration(Files);
  if (isError(Merged))
    return printError(errorOf(Merged));
  std::cout << "valid: " << Files.size() << " files, "
            << valueOf(Merged).Services.size() << " services, "
            << valueOf(Merged).Teams.size() << " teams\n";
  return ExitCode::Done;
}

ExitCode checkSettings(const std::string &Path) {
  const Result<std::string> Text = readFile(Path);
  if (isError(Text))
    return printError(errorOf(Text));
  const Result<Settings> Parsed = parseSettings(valueOf(Text), Path);
  if (isError(Parsed))
    return printError(errorOf(Parsed));
  std::cout << "valid: settings of " << valueOf(Parsed).Name << "\n";
  return ExitCode::Done;
}

Result<Json> fetchJson(const Client &ApiClient, const std::string &Path) {
  HttpCallRequest Request;
  Request.Method = HttpMethod::Get;
  Request.Path = Path;
  const Result<HttpCallResult> Answer = ApiClient.call(Request);
  if (isError(Answer))
    return errorOf(Answer);
  Json Body = Json::parse(valueOf(Answer).Body, nullptr, false);
  if (valueOf(Answer).StatusCode != 200 || !Body.is_object())
    return Error{ErrorKind::Unauthorized, "the configuration cannot be read",
                 "check that the token is that of an operator"};
  return Body;
}

/// Time for which a change is sent again while no leader confirms it. An
/// election takes up to 2 s.
constexpr std::chrono::seconds ResendTimeout{10};
constexpr std::chrono::milliseconds ResendDelay{300};

/// Returns true if \p Answer leaves open whether the change takes effect.
bool isUndecided(const HttpCallResult &Answer) {
  const Json Body = Json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return false;
  const std::string Kind = Body["error"].value("kind", "");
  return Kind == errorKindName(ErrorKind::NotLeader) ||
         Kind == errorKindName(ErrorKind::Unreachable) ||
         Kind == errorKindName(ErrorKind::Timeout);
}

/// Sends a change until a leader decides it. A resend carries the same request
/// id, so it does not count as a second change.
Result<HttpCallResult> callUntilDecided(const Client &ApiClient,
                                        const HttpCallRequest &Request) {
  const auto ResendDeadline = std::chrono::steady_clock::now() + ResendTimeout;
  for (;;) {
    Result<HttpCallResult> Answer = ApiClient.call(Request);
    const bool ShouldResend =
        isError(Answer) ? errorOf(Answer).Kind == ErrorKind::Unreachable
                        : isUndecided(valueOf(Answer));
    if (!ShouldResend || std::chrono::steady_clock::now() > ResendDeadline)
      return Answer;
    std::this_thread::sleep_for(ResendDelay);
  }
}

/// Sends one change and returns its revision.
Result<uint64_t> sendChange(const Client &ApiClient, const std::string &Path,
                            const ChangeOptions &Options,
                            uint64_t ExpectedRevision) {
  const std::string Name = std::filesystem::path(Path).filename().string();
  HttpCallRequest Request;
  Request.Method = Options.Remove ? HttpMethod::Delete : HttpMethod::Post;
  Request.Path = "/v1/config/files/" + Name +
                 "?expected_revision=" + std::to_string(ExpectedRevision) +
                 "&request_id=" + std::to_string(secureRandom64());
  if (!Options.Remove) {
    Result<std::string> Text = readFile(Path);
    if (isError(Text))
      return errorOf(Text);
    Request.Body = takeValue(std::move(Text));
  }
  const Result<HttpCallResult> Answer = callUntilDecided(ApiClient, Request);
  if (isError(Answer))
    return errorOf(Answer);
  const Json Body = Json::parse(valueOf(Answer).Body, nullptr, false);
  if (valueOf(Answer).StatusCode == 200)
    return Body["revision"].get<uint64_t>();
  const Json Failure =
      Body.is_object() ? Body.value("error", Json::object()) : Json::object();
  return Error{parseErrorKind(Failure.value("kind", "")),
               Name + ": " + Failure.value("message", ""),
               Failure.value("remedy", "")};
}

ExitCode changeFiles(const ChangeOptions &Options,
                     const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  uint64_t Revision = 0;
  if (Options.ExpectedRevision) {
    Revision = *Options.ExpectedRevision;
  } else {
    const Result<Json> Current = fetchJson(valueOf(ApiClient), "/v1/config");
    if (isError(Current))
      return printError(errorOf(Current));
    Revision = valueOf(Current)["revision"].get<uint64_t>();
  }
  for (const std::string &File : Options.Files) {
    const Result<uint64_t> Accepted =
        sendChange(valueOf(ApiClient), File, Options, Revision);
    if (isError(Accepted)) {
      const ExitCode Code = printError(errorOf(Accepted));
      return Code == ExitCode::Unreachable ? Code : ExitCode::Failed;
    }
    Revision = valueOf(Accepted);
    std::cout << File << ": accepted as revision " << Revision << "\n";
  }
  return ExitCode::Done;
}

ExitCode showConfig(const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  const Result<Json> Body = fetchJson(valueOf(ApiClient), "/v1/config");
  if (isError(Body))
    return printError(errorOf(Body));
  if (SharedOptions.JsonOutput) {
    std::cout << valueOf(Body).dump(2) << "\n";
    return ExitCode::Done;
  }
  std::cout << "revision " << valueOf(Body)["revision"] << "\n";
  for (const auto &File : valueOf(Body)["files"].items())
    std::cout << "--- " << File.key() << "\n"
              << File.value().get<std::string>() << "\n";
  return ExitCode::Done;
}

ExitCode showHistory(const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  const Result<Json> Body = fetchJson(valueOf(ApiClient), "/v1/config/history");
  if (isError(Body))
    return printError(errorOf(Body));
  if (SharedOptions.JsonOutput) {
    std::cout << valueOf(Body).dump(2) << "\n";
    return ExitCode::Done;
  }
  std::vector<std::vector<std::string>> Rows{
      {"REVISION", "FILE", "CHANGE", "OPERATOR"}};
  for (const Json &Row : valueOf(Body)["changes"])
    Rows.push_back({Row["revision"].dump(), Row["file"].get<std::string>(),
                    Row["removed"].get<bool>() ? "removed" : "applied",
                    Row["operator"].get<std::string>()});
  std::cout << formatTable(Rows);
  return ExitCode::Done;
}

void addChangeCommand(CLI::App &Parent, Action &SelectedAction, bool Remove) {
  CLI::App *Command = Parent.add_subcommand(
      Remove ? "remove" : "apply",
      Remove ? "Remove files from the configuration."
             : "Add or replace files of the configuration.");
  auto Options = std::make_shared<ChangeOptions>();
  Options->Remove = Remove;
  Command
      ->add_option("files", Options->Files,
                   "Files, in the order in which they are sent")
      ->required();
  Command->add_option("--expected-revision", Options->ExpectedRevision,
                      "Revision that the change is based on (default: the "
                      "one in force)");
  const auto SharedOptions = addClientOptions(*Command);
  Command->callback([&SelectedAction, Options, SharedOptions] {
    SelectedAction = [=] { return changeFiles(*Options, *SharedOptions); };
  });
}

ExitCode changeVoter(const std::string &Name, bool Remove,
                     const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  HttpCallRequest Request;
  Request.Method = Remove ? HttpMethod::Delete : HttpMethod::Post;
  Request.Path = "/v1/config/voters/" + Name;
  const Result<HttpCallResult> Answer =
      callUntilDecided(valueOf(ApiClient), Request);
  if (isError(Answer))
    return printError(errorOf(Answer));
  if (valueOf(Answer).StatusCode != 200)
    return printErrorAnswer(valueOf(Answer));
  std::cout << Name << (Remove ? ": no voter any longer\n" : ": votes\n");
  return ExitCode::Done;
}

ExitCode showVoters(const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  const Result<Json> Body = fetchJson(valueOf(ApiClient), "/v1/status");
  if (isError(Body))
    return printError(errorOf(Body));
  const Json Replica = valueOf(Body).value("replica", Json());
  if (!Replica.is_object())
    return printError(
        {ErrorKind::BadRequest, "this VM has no replica",
         "pass the address of a VM with a data folder with --to"});
  std::cout << Replica.dump(2) << "\n";
  return ExitCode::Done;
}

/// Replaces the identity of a voter that lost its disk. The old identity is
/// removed first, so the set never holds two voters for one VM.
ExitCode replaceVoter(const std::string &Name,
                      const ClientOptions &SharedOptions) {
  const ExitCode RemoveCode = changeVoter(Name, true, SharedOptions);
  return RemoveCode == ExitCode::Done ? changeVoter(Name, false, SharedOptions)
                                      : RemoveCode;
}

void addVoterChangeCommand(CLI::App &Parent, Action &SelectedAction,
                           const std::string &Name, const std::string &Help,
                           ExitCode (*Run)(const std::string &,
                                           const ClientOptions &)) {
  CLI::App *Command = Parent.add_subcommand(Name, Help);
  auto Vm = std::make_shared<std::string>();
  Command->add_option("vm", *Vm, "Name of the VM")->required();
  const auto SharedOptions = addClientOptions(*Command);
  Command->callback([&SelectedAction, Vm, SharedOptions, Run] {
    SelectedAction = [=] { return Run(*Vm, *SharedOptions); };
  });
}

void addVoterCommands(CLI::App &Parent, Action &SelectedAction) {
  CLI::App *Voters = Parent.add_subcommand(
      "voters",
      "Show and change the voters, which decide configuration changes.");
  Voters->require_subcommand(1);
  CLI::App *Show =
      Voters->add_subcommand("show", "Show the replica of a VM with a disk.");
  const auto SharedOptions = addClientOptions(*Show);
  Show->callback([&SelectedAction, SharedOptions] {
    SelectedAction = [=] { return showVoters(*SharedOptions); };
  });
  addVoterChangeCommand(
      *Voters, SelectedAction, "add",
      "Turn a VM that has caught up into a voter.",
      [](const std::string &Name, const ClientOptions &Options) {
        return changeVoter(Name, false, Options);
      });
  addVoterChangeCommand(
      *Voters, SelectedAction, "remove", "Remove a VM from the voters.",
      [](const std::string &Name, const ClientOptions &Options) {
        return changeVoter(Name, true, Options);
      });
  addVoterChangeCommand(*Voters, SelectedAction, "replace",
                        "Replace a voter that came back with an empty disk.",
                        replaceVoter);
}

void addCheckCommand(CLI::App &Parent, Action &SelectedAction) {
  CLI::App *Command = Parent.add_subcommand(
      "check", "Check a folder of files, or the settings of a VM.");
  auto Folder = std::make_shared<std::string>();
  auto Settings = std::make_shared<std::string>();
  auto *FolderOption =
      Command->add_option("folder", *Folder, "Folder of configuration files");
  Command->add_option("--settings", *Settings, "Settings file of a VM")
      ->excludes(FolderOption);
  Command->callback([&SelectedAction, Folder, Settings] {
    SelectedAction = [=] {
      return Settings->empty() ? checkFolder(*Folder)
                               : checkSettings(*Settings);
    };
  });
}

} // namespace

void addConfigCommands(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Parent = Root.add_subcommand(
      "config", "Check, change and show the configuration.");
  Parent->require_subcommand(1);
  Parent->footer("Example:\n  sapphiremoor config check conf.d\n"
                 "  sapphiremoor config apply conf.d/10-quote.json --to "
                 "127.0.0.1:8080 --token-file operator-eva.token");
  addCheckCommand(*Parent, SelectedAction);
  addChangeCommand(*Parent, SelectedAction, false);
  addChangeCommand(*Parent, SelectedAction, true);
  addVoterCommands(*Parent, SelectedAction);
  CLI::App *Show = Parent->add_subcommand("show", "Print the files in force.");
  const auto ShowOptions = addClientOptions(*Show);
  Show->callback([&SelectedAction, ShowOptions] {
    SelectedAction = [=] { return showConfig(*ShowOptions); };
  });
  CLI::App *History =
      Parent->add_subcommand("history", "Print the accepted changes.");
  const auto HistoryOptions = addClientOptions(*History);
  History->callback([&SelectedAction, HistoryOptions] {
    SelectedAction = [=] { return showHistory(*HistoryOptions); };
  });
}

} // namespace sapphiremoor
