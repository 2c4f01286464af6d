#ifndef SAPPHIREMOOR_DAEMON_KEYCODEC_H
#define SAPPHIREMOOR_DAEMON_KEYCODEC_H

#include "claims/types/jobkey.h"
#include "framework/core/result.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Reads and writes the texts of keys. Prefixes that were checked once are
/// remembered, since a check costs an HMAC and callers use a prefix for many
/// keys.
class KeyCodec {
public:
  /// Prefixes remembered; beyond it all are forgotten and checked again.
  static constexpr std::size_t MaxPrefixes = 4096;

  explicit KeyCodec(std::string ClusterKey);

  /// Reads a key. Errors are those of parseKey().
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
