#include "gateway/tokentable.h"

#include <filesystem>
#include <optional>
#include <string_view>

namespace sapphiremoor {

namespace {

std::string_view roleName(Role TokenRole) {
  switch (TokenRole) {
  case Role::Caller:
    return "team";
  case Role::Operator:
    return "operator";
  case Role::Backend:
    return "backend";
  }
  return "team";
}

std::optional<Identity> parseIdentity(const std::string &Stem) {
  for (const Role TokenRole : {Role::Caller, Role::Operator, Role::Backend}) {
    const std::string Prefix = std::string(roleName(TokenRole)) + "-";
    if (Stem.starts_with(Prefix) && Stem.size() > Prefix.size())
      return Identity{TokenRole, Stem.substr(Prefix.size())};
  }
  return std::nullopt;
}

Result<Done> addToken(TokenTable &Table, const std::filesystem::path &File) {
  const auto Owner = parseIdentity(File.stem().string());
  if (!Owner)
    return Error{ErrorKind::BadRequest,
                 "the token file " + File.string() + " has no role in its name",
                 "name it team-NAME.token, operator-NAME.token or "
                 "backend-NAME.token"};
  const Result<std::string> Token = readSecretFile(File.string());
  if (isError(Token))
    return errorOf(Token);
  if (!Table.Identities.emplace(sha256(valueOf(Token)), *Owner).second)
    return Error{ErrorKind::Contradiction,
                 "the token in " + File.string() + " is also in another file",
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
    return Error{
        ErrorKind::NotFound, "cannot read the tokens folder " + Folder,
        "create it with one token file per team, operator and backend server"};
  return Table;
}

Result<Identity> authenticate(const TokenTable &Table, const std::string &Token,
                              Role RequiredRole) {
  const auto It = Table.Identities.find(sha256(Token));
  if (Token.empty() || It == Table.Identities.end())
    return Error{ErrorKind::Unauthorized, "the token is missing or unknown",
                 "send the header 'Authorization: Bearer TOKEN' with a token "
                 "of this deployment"};
  if (It->second.AssignedRole != RequiredRole)
    return Error{ErrorKind::Forbidden,
                 "this request requires a token with the role " +
                     std::string(roleName(RequiredRole)),
                 "send a token with that role"};
  return It->second;
}

} // namespace sapphiremoor
