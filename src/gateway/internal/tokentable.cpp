#include "gateway/tokentable.h"

#include <filesystem>
#include <optional>
#include <string_view>

namespace sapphiremoor {

namespace {

std::string_view roleName(Role As) {
  switch (As) {
  case Role::Caller:
    return "team";
  case Role::Operator:
    return "operator";
  case Role::Backend:
    return "backend";
  }
  return "team";
}

std::optional<Identity> identityOf(const std::string &Stem) {
  for (const Role As : {Role::Caller, Role::Operator, Role::Backend}) {
    const std::string Start = std::string(roleName(As)) + "-";
    if (Stem.starts_with(Start) && Stem.size() > Start.size())
      return Identity{As, Stem.substr(Start.size())};
  }
  return std::nullopt;
}

Result<Done> addToken(TokenTable &Table, const std::filesystem::path &File) {
  const auto Owner = identityOf(File.stem().string());
  if (!Owner)
    return Error{ErrorKind::BadRequest,
                 "the token file " + File.string() + " names no role",
                 "name it team-NAME.token, operator-NAME.token or "
                 "backend-NAME.token"};
  const Result<std::string> Token = readSecretFile(File.string());
  if (isError(Token))
    return errorOf(Token);
  if (!Table.Identities.emplace(sha256(valueOf(Token)), *Owner).second)
    return Error{ErrorKind::Contradiction,
                 "the token in " + File.string() + " is used by another file",
                 "give each team, operator and backend server its own token"};
  return Done{};
}

} // namespace

Result<TokenTable> loadTokens(const std::string &Folder) {
  TokenTable Table;
  std::error_code Failure;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Folder, Failure)) {
    if (Entry.path().extension() != ".token")
      continue;
    const Result<Done> Added = addToken(Table, Entry.path());
    if (isError(Added))
      return errorOf(Added);
  }
  if (Failure)
    return Error{ErrorKind::NotFound, "cannot read the tokens folder " + Folder,
                 "create it with one file per team, operator and backend"};
  return Table;
}

Result<Identity> authenticate(const TokenTable &Table, const std::string &Token,
                              Role Needed) {
  const auto Found = Table.Identities.find(sha256(Token));
  if (Token.empty() || Found == Table.Identities.end())
    return Error{ErrorKind::Unauthorized, "the token is missing or unknown",
                 "send the header 'Authorization: Bearer TOKEN' with a token "
                 "of this deployment"};
  if (Found->second.As != Needed)
    return Error{ErrorKind::Forbidden,
                 "this request needs a token of the kind " +
                     std::string(roleName(Needed)),
                 "use such a token"};
  return Found->second;
}

} // namespace sapphiremoor
