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
  Endpoint At;
  if (Colon != std::string::npos) {
    At.Address = Text.substr(0, Colon);
    const char *End = Text.data() + Text.size();
    const auto [Stop, Failure] =
        std::from_chars(Text.data() + Colon + 1, End, At.Port);
    if (Failure == std::errc() && Stop == End && At.Port != 0)
      return At;
  }
  return Error{ErrorKind::BadRequest, "'" + Text + "' is no address",
               "write it as ADDRESS:PORT, such as 127.0.0.1:8080"};
}

HttpCallResult callOnce(const Endpoint &At, const HttpCallRequest &Request) {
  EventLoop Loop;
  BackendClient Sender(Loop, {ConnectTimeout, ConnectTimeout});
  std::optional<HttpCallResult> Answer;
  Sender.send(At, Request,
              [&](HttpCallResult Result) { Answer = std::move(Result); });
  while (!Answer)
    Loop.runOnce(true);
  return *Answer;
}

} // namespace

Result<Client> Client::open(const ClientOptions &Options) {
  Client Opened;
  for (const std::string &Text : Options.To) {
    const Result<Endpoint> At = parseEndpoint(Text);
    if (isError(At))
      return errorOf(At);
    Opened.To.push_back(valueOf(At));
  }
  Result<std::string> Token = readSecretFile(Options.TokenFile);
  if (isError(Token))
    return errorOf(Token);
  Opened.Token = takeValue(std::move(Token));
  return Opened;
}

Result<HttpCallResult> Client::call(HttpCallRequest Request) const {
  Request.Headers.emplace_back("Authorization", "Bearer " + Token);
  for (const Endpoint &At : To) {
    HttpCallResult Answer = callOnce(At, Request);
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

ExitCode report(const Error &Failure) {
  std::cerr << "sapphiremoor: " << describe(Failure) << "\n";
  return Failure.Kind == ErrorKind::Unreachable ? ExitCode::Unreachable
                                                : ExitCode::BadInput;
}

ExitCode reportAnswer(const HttpCallResult &Answer) {
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
