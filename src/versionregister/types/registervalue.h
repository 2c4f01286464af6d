#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERVALUE_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERVALUE_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// A document with its version. Version 0 means that no document has been
/// stored.
struct VersionedDocument {
  uint64_t Version = 0;
  std::string Body;

  auto operator<=>(const VersionedDocument &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Version, Body); }
};

/// The addresses of the VMs that vote, in ascending order. A majority of them
/// decides.
struct VoterSet {
  uint64_t Epoch = 0;
  std::vector<std::string> Voters;

  auto operator<=>(const VoterSet &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Epoch, Voters); }
};

/// Value of the register. The voters are part of it, so that a round changes
/// them as safely as the document.
struct RegisterValue {
  VersionedDocument Document;
  VoterSet Voters;

  auto operator<=>(const RegisterValue &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Document, Voters);
  }
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERVALUE_H
