#ifndef SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERVALUE_H
#define SAPPHIREMOOR_VERSIONREGISTER_TYPES_REGISTERVALUE_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphiremoor {

/// A numbered document. Version 0 means that none has been stored.
struct VersionedDocument {
  uint64_t Version = 0;
  std::string Body;

  auto operator<=>(const VersionedDocument &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Version, Body); }
};

/// The VMs whose majority decides, by their addresses, in ascending order.
struct VoterSet {
  uint64_t Epoch = 0;
  std::vector<std::string> Voters;

  auto operator<=>(const VoterSet &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Epoch, Voters); }
};

/// What the register holds. The voters are part of the value, so that one round
/// changes them as safely as the document.
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
