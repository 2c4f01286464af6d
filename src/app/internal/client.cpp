#include "app/client.h"

#include "framework/codec/crypto.h"
#include "framework/net/backendclient.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace sapphiremoor {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(2);

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  Endpoint Parsed;
  if (Colon != std::string::npos) {
    Parsed.Address = Text.substr(0, Colon);
    const char *TextEnd = Text.data() + Text.size();
    const auto [ParseEnd, Failure] =
        std::from_chars(Text.data() + Colon + 1, TextEnd, Parsed.Port);
    if (Failure == std::errc() && ParseEnd == TextEnd && Parsed.Port != 0)
      return Parsed;
  }
  return Error{ErrorKind::BadRequest, "'" + Text + "' is not a valid address",
               "write it as ADDRESS:PORT, such as 127.0.0.1:8080"};
}

HttpCallResult callOnce(const Endpoint &Target,
                        const HttpCallRequest &Request) {
  EventLoop Loop;
  BackendClient HttpClient(Loop, {ConnectTimeout, ConnectTimeout});
  std::optional<HttpCallResult> Answer;
  HttpClient.send(Target, Request,
                  [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Loop.runOnce(true);
  return *Answer;
}

} // namespace

Result<Client> Client::open(const ClientOptions &Options) {
  Client NewClient;
  for (const std::string &Text : Options.Addresses) {
    const Result<Endpoint> Parsed = parseEndpoint(Text);
    if (isError(Parsed))
      return errorOf(Parsed);
    NewClient.Endpoints.push_back(valueOf(Parsed));
  }
  Result<std::string> Token = readSecretFile(Options.TokenFile);
  if (isError(Token))
    return errorOf(Token);
  NewClient.Token = takeValue(std::move(Token));
  return NewClient;
}

Result<HttpCallResult> Client::call(HttpCallRequest Request) const {
  Request.Headers.emplace_back("Authorization", "Bearer " + Token);
  for (const Endpoint &Target : Endpoints) {
    HttpCallResult Answer = callOnce(Target, Request);
    if (Answer.Status == HttpCallStatus::Answered)
      return Answer;
  }
  return Error{ErrorKind::Unreachable, "none of the given VMs answers",
               "check --to and that the daemons run; sending the same key or "
               "change again is safe"};
}

Result<std::string> readFile(const std::string &Path) {
  if (Path == "-")
    return std::string{std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorKind::NotFound, "cannot read " + Path,
                 "check the path and its permissions"};
  return std::string{std::istreambuf_iterator<char>(File), {}};
}

ExitCode printError(const Error &Failure) {
  std::cerr << "sapphiremoor: " << describe(Failure) << "\n";
  return Failure.Kind == ErrorKind::Unreachable ? ExitCode::Unreachable
                                                : ExitCode::BadInput;
}

ExitCode printErrorAnswer(const HttpCallResult &Answer) {
  const auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Body.is_object() && Body.contains("error")) {
    const auto &Failure = Body["error"];
    std::cerr << "sapphiremoor: " << Failure.value("kind", "error") << ": "
              << Failure.value("message", "") << " ("
              << Failure.value("remedy", "") << ")\n";
  } else {
    std::cerr << "sapphiremoor: unexpected answer with status "
              << Answer.StatusCode << "\n";
  }
  return ExitCode::Failed;
}

} // namespace sapphiremoor
