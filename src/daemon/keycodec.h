#ifndef SAPPHIREMOOR_DAEMON_KEYCODEC_H
#define SAPPHIREMOOR_DAEMON_KEYCODEC_H

#include "claims/types/jobkey.h"
#include "framework/core/result.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Parses and formats keys. Verified prefixes are cached because verifying one
/// costs an HMAC and callers use a prefix for many keys.
class KeyCodec {
public:
  /// Maximum number of cached prefixes. A full cache is cleared, so that its
  /// prefixes are verified again when they are used.
  static constexpr std::size_t MaxPrefixes = 4096;

  explicit KeyCodec(std::string ClusterKey);

  /// Parses a key. Errors are those of parseKey().
  Result<JobKey> parse(const std::string &Text);

  /// Returns the text of \p Key.
  std::string format(const JobKey &Key);

  /// Returns the text of \p IssuedPrefix.
  const std::string &format(const Prefix &IssuedPrefix);

  std::size_t cachedPrefixes() const { return Prefixes.size(); }

private:
  void cachePrefix(const Prefix &KeyPrefix, const std::string &Text);

  std::string ClusterKey;
  std::map<std::string, Prefix, std::less<>> Prefixes;
  std::map<Prefix, std::string> Texts;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_DAEMON_KEYCODEC_H
