#ifndef SAPPHIREMOOR_CLAIMS_KEYTEXT_H
#define SAPPHIREMOOR_CLAIMS_KEYTEXT_H

#include "claims/types/jobkey.h"
#include "framework/core/result.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Returns the digest of a job's body that claims compare.
BodyDigest bodyDigest(std::string_view Body);

/// Returns the text of \p KeyPrefix: base64url of its fields and of a message
/// authentication code under the secret of the cluster. The issuer must be the
/// first member.
std::string formatPrefix(const Prefix &KeyPrefix,
                         std::string_view ClusterSecret);

/// Returns the text `PREFIX.NUMBER` of \p Key.
std::string formatKey(const JobKey &Key, std::string_view ClusterSecret);

/// Parses a prefix. Returns MissingKey if \p Text is empty, and BadKey if the
/// prefix was not issued under \p ClusterSecret.
Result<Prefix> parsePrefix(std::string_view Text,
                           std::string_view ClusterSecret);

/// Parses a key. Returns MissingKey if \p Text has no prefix, and BadKey if the
/// prefix was not issued under \p ClusterSecret or the number is not in plain
/// decimal form.
Result<JobKey> parseKey(std::string_view Text, std::string_view ClusterSecret);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_KEYTEXT_H
