#include "app/client.h"
#include "app/commands.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

struct SubmitOptions {
  std::string Service;
  std::vector<std::string> Tasks;
  std::string TasksFile;
  std::string Key;
  bool Single = false;
  int64_t DeadlineMs = 30000;
};

/// Time that the command waits after the job's deadline.
constexpr Duration AnswerGracePeriod = std::chrono::seconds(10);

ExitCode statusExitCode(const std::string &Status) {
  if (Status == "complete")
    return ExitCode::Done;
  if (Status == "not run")
    return ExitCode::NotRun;
  if (Status == "outcome unknown" || Status == "pending")
    return ExitCode::OutcomeUnknown;
  return ExitCode::Failed;
}

ExitCode printAnswer(const Result<HttpCallResult> &Answer) {
  if (isError(Answer))
    return printError(errorOf(Answer));
  const Json Body = Json::parse(valueOf(Answer).Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("status"))
    return printErrorAnswer(valueOf(Answer));
  std::cout << Body.dump(2) << "\n";
  return statusExitCode(Body["status"].get<std::string>());
}

Result<Json> parseTask(const std::string &Text) {
  Json Task = Json::parse(Text, nullptr, false);
  if (Task.is_discarded())
    return Error{ErrorKind::BadJson, "a task is not JSON: " + Text,
                 "quote strings, such as --task '\"text\"'"};
  return Task;
}

Result<Json> collectTasks(const SubmitOptions &Options) {
  if (!Options.TasksFile.empty()) {
    const Result<std::string> Text = readFile(Options.TasksFile);
    if (isError(Text))
      return errorOf(Text);
    Json Tasks = Json::parse(valueOf(Text), nullptr, false);
    if (!Tasks.is_array())
      return Error{ErrorKind::BadJson,
                   Options.TasksFile + " does not hold a JSON list",
                   "write the tasks as [TASK, TASK, ...]"};
    return Tasks;
  }
  Json Tasks = Json::array();
  for (const std::string &Text : Options.Tasks) {
    const Result<Json> Task = parseTask(Text);
    if (isError(Task))
      return errorOf(Task);
    Tasks.push_back(valueOf(Task));
  }
  return Tasks;
}

Result<std::string> obtainKey(const Client &ApiClient) {
  HttpCallRequest Request;
  Request.Path = "/v1/prefixes";
  const Result<HttpCallResult> Answer = ApiClient.call(Request);
  if (isError(Answer))
    return errorOf(Answer);
  const Json Body = Json::parse(valueOf(Answer).Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("prefix"))
    return Error{ErrorKind::Unauthorized, "no key prefix was issued",
                 "check that the token is that of a team"};
  return Body["prefix"].get<std::string>() + ".1";
}

ExitCode submitJob(const SubmitOptions &Options,
                   const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  const Result<Json> Tasks = collectTasks(Options);
  if (isError(Tasks))
    return printError(errorOf(Tasks));
  const Result<std::string> Key = Options.Key.empty()
                                      ? obtainKey(valueOf(ApiClient))
                                      : Result<std::string>(Options.Key);
  if (isError(Key))
    return printError(errorOf(Key));
  Json Body;
  Body["service"] = Options.Service;
  Body["deadline_ms"] = Options.DeadlineMs;
  if (Options.Single)
    Body["task"] = valueOf(Tasks).at(0);
  else
    Body["tasks"] = valueOf(Tasks);
  HttpCallRequest Request;
  Request.Path =
      (Options.Single ? "/v1/requests/" : "/v1/jobs/") + valueOf(Key);
  Request.Body = Body.dump();
  Request.Timeout =
      std::chrono::milliseconds(Options.DeadlineMs) + AnswerGracePeriod;
  return printAnswer(valueOf(ApiClient).call(Request));
}

ExitCode callWithKey(HttpMethod Method, const std::string &Key,
                     const ClientOptions &SharedOptions) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return printError(errorOf(ApiClient));
  HttpCallRequest Request;
  Request.Method = Method;
  Request.Path = "/v1/jobs/" + Key;
  return printAnswer(valueOf(ApiClient).call(Request));
}

void addKeyCommand(CLI::App &Root, Action &SelectedAction,
                   const std::string &Name, const std::string &Help,
                   HttpMethod Method) {
  CLI::App *Command = Root.add_subcommand(Name, Help);
  auto Key = std::make_shared<std::string>();
  Command->add_option("key", *Key, "Key of the job")->required();
  const auto SharedOptions = addClientOptions(*Command);
  Command->callback([&SelectedAction, Key, SharedOptions, Method] {
    SelectedAction = [=] { return callWithKey(Method, *Key, *SharedOptions); };
  });
}

} // namespace

void addJobCommands(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Command =
      Root.add_subcommand("submit", "Submit a job and print its answer.");
  auto Options = std::make_shared<SubmitOptions>();
  Command->add_option("--service", Options->Service, "Service to run")
      ->required();
  auto *Tasks = Command->add_option("--task", Options->Tasks,
                                    "A task as JSON; may be repeated");
  Command
      ->add_option("--tasks-file", Options->TasksFile,
                   "File with a JSON list of tasks, or - for standard input")
      ->excludes(Tasks);
  Command->add_option("--key", Options->Key,
                      "Key of an earlier submission to repeat");
  Command->add_option("--deadline-ms", Options->DeadlineMs,
                      "Time until the job is abandoned, in milliseconds");
  Command->add_flag("--single", Options->Single,
                    "Submit one task as a single request");
  const auto SharedOptions = addClientOptions(*Command);
  Command->footer(
      "Example:\n  sapphiremoor submit --to 127.0.0.1:8080 --token-file "
      "team-counter.token \\\n    --service quote --task '{\"handle\": 7}'\n"
      "Exit codes: 0 complete, 1 failed, 2 bad input, 3 not run,\n"
      "4 outcome unknown, 5 no VM answers.");
  Command->callback([&SelectedAction, Options, SharedOptions] {
    SelectedAction = [=] { return submitJob(*Options, *SharedOptions); };
  });
  addKeyCommand(Root, SelectedAction, "fetch", "Wait for the answer of a job.",
                HttpMethod::Get);
  addKeyCommand(Root, SelectedAction, "cancel", "Cancel a job.",
                HttpMethod::Delete);
}

} // namespace sapphiremoor
