#ifndef SAPPHIREMOOR_DISPATCH_FENCINGTOKEN_H
#define SAPPHIREMOOR_DISPATCH_FENCINGTOKEN_H

#include "dispatch/types/tokenissuer.h"
#include "framework/core/types/endpoint.h"

#include <chrono>
#include <cstdint>

namespace sapphiremoor {

/// A fencing token orders the owners of a backend server, which obeys only the
/// highest one that it has seen. From high to low bits it holds a term, the
/// life and the owner tag of its issuer. No two processes of a deployment issue
/// the same token, and one process never issues a token twice for one backend
/// server.
///
/// A token stays below 2^53 until 2042, so that a JSON number holds it exactly.
uint64_t makeFencingToken(const TokenIssuer &Issuer, uint64_t Term);

/// Returns the term of a token.
uint64_t fencingTerm(uint64_t Token);

/// Returns the first term for a takeover at \p TimeOfDay. Terms are seconds, so
/// that a later owner has a higher token also where the backend server has
/// started again and knows no former one.
uint64_t fencingTermAt(std::chrono::system_clock::time_point TimeOfDay);

/// Returns the owner tag of the control VM with \p Address. With one port, tags
/// differ between VMs of one data centre, and between VMs whose addresses
/// differ in the second byte only. They also differ between VMs that share an
/// address. takesOwnerTag() covers the other cases.
uint32_t ownerTag(const Endpoint &Address);

/// Returns true if the VMs with these addresses have one owner tag and \p Other
/// may keep it, so that \p Self must not issue tokens.
bool takesOwnerTag(const Endpoint &Other, const Endpoint &Self);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DISPATCH_FENCINGTOKEN_H
