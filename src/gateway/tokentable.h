#ifndef SAPPHIREMOOR_GATEWAY_TOKENTABLE_H
#define SAPPHIREMOOR_GATEWAY_TOKENTABLE_H

#include "framework/codec/crypto.h"
#include "framework/core/result.h"
#include "gateway/types/command.h"

#include <map>
#include <string>

namespace sapphiremoor {

/// Who sent a request.
struct Identity {
  Role AssignedRole = Role::Caller;
  /// The team of a caller, the name of an operator or backend server group.
  std::string Name;

  auto operator<=>(const Identity &) const = default;
};

/// The tokens of a VM by their digests; the tokens themselves are not kept.
struct TokenTable {
  std::map<Digest, Identity> Identities;
};

/// Reads a folder of files named ROLE-NAME.token, where ROLE is team, operator
/// or backend. Each must have mode 0600 and at least 16 characters.
Result<TokenTable> loadTokens(const std::string &Folder);

/// Finds who \p Token belongs to and checks that it has the role \p
/// RequiredRole. Errors: Unauthorized, Forbidden.
Result<Identity> authenticate(const TokenTable &Table, const std::string &Token,
                              Role RequiredRole);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_GATEWAY_TOKENTABLE_H
