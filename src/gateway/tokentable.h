#ifndef SAPPHIREMOOR_GATEWAY_TOKENTABLE_H
#define SAPPHIREMOOR_GATEWAY_TOKENTABLE_H

#include "framework/codec/crypto.h"
#include "framework/core/result.h"
#include "gateway/types/command.h"

#include <map>
#include <string>

namespace sapphiremoor {

/// The sender of a request.
struct Identity {
  Role AssignedRole = Role::Caller;
  /// The team of a caller, or the name of an operator or of a group of backend
  /// servers.
  std::string Name;

  auto operator<=>(const Identity &) const = default;
};

/// The tokens that a VM accepts, by digest. The tokens themselves are not kept.
struct TokenTable {
  std::map<Digest, Identity> Identities;
};

/// Reads a folder of files named ROLE-NAME.token, where ROLE is team, operator
/// or backend. Each file must have mode 0600 and at least 16 characters.
Result<TokenTable> loadTokens(const std::string &Folder);

/// Finds the owner of \p Token and checks that it has the role \p RequiredRole.
/// Errors: Unauthorized, Forbidden.
Result<Identity> authenticate(const TokenTable &Table, const std::string &Token,
                              Role RequiredRole);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_TOKENTABLE_H
