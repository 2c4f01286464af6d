#include "app/client.h"
#include "app/commands.h"
#include "app/table.h"
#include "servicelevel/burn.h"
#include "servicelevel/render.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace sapphiremoor {

namespace {

using Json = nlohmann::ordered_json;

std::string formatCell(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  if (!Value.is_array())
    return Value.dump();
  std::string Joined;
  for (const Json &Item : Value)
    Joined += (Joined.empty() ? "" : ",") + formatCell(Item);
  return Joined;
}

std::string formatJsonTable(const Json &Rows,
                            const std::vector<std::string> &Columns) {
  std::vector<std::vector<std::string>> Cells{Columns};
  for (const Json &Row : Rows) {
    std::vector<std::string> Line(Columns.size());
    std::ranges::transform(Columns, Line.begin(), [&](const std::string &Name) {
      return formatCell(Row.at(Name));
    });
    Cells.push_back(std::move(Line));
  }
  return formatTable(Cells);
}

Result<HttpCallResult> callOperator(const ClientOptions &SharedOptions,
                                    HttpMethod Method,
                                    const std::string &Path) {
  const Result<Client> ApiClient = Client::open(SharedOptions);
  if (isError(ApiClient))
    return errorOf(ApiClient);
  HttpCallRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  return valueOf(ApiClient).call(Request);
}

ExitCode showStatus(const ClientOptions &SharedOptions) {
  const Result<HttpCallResult> Answer =
      callOperator(SharedOptions, HttpMethod::Get, "/v1/status");
  if (isError(Answer))
    return printError(errorOf(Answer));
  const Json Body = Json::parse(valueOf(Answer).Body, nullptr, false);
  if (valueOf(Answer).StatusCode != 200 || !Body.is_object())
    return printErrorAnswer(valueOf(Answer));
  if (SharedOptions.JsonOutput) {
    std::cout << Body.dump(2) << "\n";
    return ExitCode::Done;
  }
  std::cout << "vm " << formatCell(Body["vm"]) << " in "
            << formatCell(Body["data_centre"]) << ", dispatcher "
            << formatCell(Body["dispatcher"]) << ", revision "
            << Body["revision"] << ", open jobs " << Body["open_jobs"]
            << ", queued tasks " << Body["queued_tasks"] << "\n\n"
            << formatJsonTable(Body["vms"], {"vm", "data_centre", "live",
                                             "draining", "revision"})
            << "\n"
            << formatJsonTable(Body["backends"],
                               {"backend", "worker", "rack", "services",
                                "slots", "state", "ejected"});
  return ExitCode::Done;
}

ExitCode drainBackend(const std::string &Id, bool Undo,
                      const ClientOptions &SharedOptions) {
  const Result<HttpCallResult> Answer =
      callOperator(SharedOptions, Undo ? HttpMethod::Delete : HttpMethod::Post,
                   "/v1/drain/" + Id);
  if (isError(Answer))
    return printError(errorOf(Answer));
  if (valueOf(Answer).StatusCode != 200)
    return printErrorAnswer(valueOf(Answer));
  std::cout << Id << (Undo ? ": takes work again\n" : ": drained\n");
  return ExitCode::Done;
}

/// Fetches the reports of all given VMs and merges them.
Result<BurnReport> fetchReports(const ClientOptions &SharedOptions) {
  std::vector<BurnReport> Reports;
  for (const std::string &Vm : SharedOptions.Addresses) {
    ClientOptions SingleVm = SharedOptions;
    SingleVm.Addresses = {Vm};
    const Result<HttpCallResult> Answer =
        callOperator(SingleVm, HttpMethod::Get, "/v1/burn");
    if (isError(Answer))
      return errorOf(Answer);
    Result<BurnReport> Report = parseReport(valueOf(Answer).Body);
    if (isError(Report))
      return Error{ErrorKind::Unauthorized, Vm + " returned no burn report",
                   "check that the token is that of an operator"};
    Reports.push_back(takeValue(std::move(Report)));
  }
  return mergeReports(Reports);
}

ExitCode reportBurn(const std::string &SvgFile,
                    const ClientOptions &SharedOptions) {
  const Result<BurnReport> Report = fetchReports(SharedOptions);
  if (isError(Report))
    return printError(errorOf(Report));
  if (!SvgFile.empty()) {
    std::ofstream File(SvgFile);
    File << renderSvg(valueOf(Report));
    if (!File.flush())
      return printError({ErrorKind::BadRequest, "cannot write " + SvgFile,
                         "choose a path in a writable folder"});
  }
  std::cout << (SharedOptions.JsonOutput ? renderJson(valueOf(Report))
                                         : renderTable(valueOf(Report)));
  return ExitCode::Done;
}

void addReportCommand(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Parent = Root.add_subcommand("report", "Reports for operators.");
  Parent->require_subcommand(1);
  CLI::App *Command = Parent->add_subcommand(
      "burn", "Service-level burn rates, summed over all VMs given with --to.");
  auto SvgFile = std::make_shared<std::string>();
  Command->add_option("--svg", *SvgFile, "Also write a plot to this file");
  const auto SharedOptions = addClientOptions(*Command);
  Command->callback([&SelectedAction, SvgFile, SharedOptions] {
    SelectedAction = [=] { return reportBurn(*SvgFile, *SharedOptions); };
  });
}

void addDrainCommand(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Command = Root.add_subcommand(
      "drain", "Stop new work for a backend server; it finishes its tasks.");
  auto Id = std::make_shared<std::string>();
  auto Undo = std::make_shared<bool>(false);
  Command
      ->add_option("backend", *Id,
                   "Identifier of the backend server, as shown by status")
      ->required();
  Command->add_flag("--undo", *Undo, "Allow new work again");
  const auto SharedOptions = addClientOptions(*Command);
  Command->callback([&SelectedAction, Id, Undo, SharedOptions] {
    SelectedAction = [=] { return drainBackend(*Id, *Undo, *SharedOptions); };
  });
}

} // namespace

std::shared_ptr<ClientOptions> addClientOptions(CLI::App &Command) {
  auto Options = std::make_shared<ClientOptions>();
  Command
      .add_option("--to", Options->Addresses,
                  "ADDRESS:PORT of a VM; repeat it to give alternatives")
      ->required()
      ->envname("SAPPHIREMOOR_TO");
  Command
      .add_option("--token-file", Options->TokenFile,
                  "File with the token, mode 0600")
      ->required()
      ->envname("SAPPHIREMOOR_TOKEN_FILE");
  Command.add_flag("--json", Options->JsonOutput, "Print JSON");
  return Options;
}

void addOperatorCommands(CLI::App &Root, Action &SelectedAction) {
  CLI::App *Status =
      Root.add_subcommand("status", "Show VMs and backend servers.");
  const auto SharedOptions = addClientOptions(*Status);
  Status->callback([&SelectedAction, SharedOptions] {
    SelectedAction = [=] { return showStatus(*SharedOptions); };
  });
  addDrainCommand(Root, SelectedAction);
  addReportCommand(Root, SelectedAction);
}

} // namespace sapphiremoor
