#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H

#include "claims/types/jobkey.h"

#include <optional>
#include <string>
#include <variant>

namespace sapphiremoor {

/// Why a VM asks about a key.
enum class ClaimIntent : uint8_t {
  /// The asking VM wants to execute the job.
  Claim,
  /// The asking VM promises never to start the key.
  Refuse,
  /// The asking VM looks for the executor or the answer.
  Find,
};

/// What an issuer's record says about a key.
enum class GrantVerdict : uint8_t {
  Granted,
  /// The key never runs.
  Void,
  /// Not granted, and the issuer has sealed the prefix: the key never runs.
  Sealed,
  /// Only in reply to Find: neither granted nor void.
  NotGranted,
  /// The prefix was dropped; nothing is known and nothing will be granted.
  TooOld,
  /// The receiver is not the incarnation that issued the prefix.
  NotIssuer,
};

/// Asks the issuer for the grant of a key to the sender.
struct GrantRequest {
  JobKey Key;
  uint64_t RequestNumber = 0;
  ClaimIntent Intent = ClaimIntent::Claim;
  BodyDigest Digest{};

  auto operator<=>(const GrantRequest &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber, Intent, Digest);
  }
};

/// The issuer's reply; executor and digest are set if the key is granted.
struct GrantReply {
  uint64_t RequestNumber = 0;
  GrantVerdict Verdict = GrantVerdict::NotIssuer;
  VmId Executor;
  BodyDigest Digest{};

  auto operator<=>(const GrantReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Verdict, Executor, Digest);
  }
};

/// Asks a member to hold the grant that the issuer gave to the sender.
struct HoldRequest {
  JobKey Key;
  uint64_t RequestNumber = 0;
  BodyDigest Digest{};

  auto operator<=>(const HoldRequest &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber, Digest);
  }
};

/// Held is false if the member has sealed or dropped the prefix.
struct HoldReply {
  uint64_t RequestNumber = 0;
  bool Held = false;

  auto operator<=>(const HoldReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Held);
  }
};

/// Asks a member to hold no further grant of the key's prefix, and to report
/// what it holds for the key.
struct SealRequest {
  JobKey Key;
  uint64_t RequestNumber = 0;

  auto operator<=>(const SealRequest &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber);
  }
};

/// A grant as a sealed member holds it.
struct GrantReport {
  VmId Executor;
  BodyDigest Digest{};
  /// Recorded by a forwarder; the issuer may have named another executor.
  bool Provisional = false;

  auto operator<=>(const GrantReport &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Executor, Digest, Provisional);
  }
};

/// Whether a member has sealed a prefix.
enum class SealVerdict : uint8_t { Sealed, NotMember, TooOld };

/// The reply to SealRequest.
struct SealReply {
  uint64_t RequestNumber = 0;
  SealVerdict Verdict = SealVerdict::NotMember;
  std::optional<GrantReport> Report;

  auto operator<=>(const SealReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Verdict, Report);
  }
};

/// Asks for a kept answer. With Release, the receiver also promises never to
/// start the key, unless it has started it or is about to.
struct AnswerQuery {
  JobKey Key;
  uint64_t RequestNumber = 0;
  bool RequestPromise = false;

  auto operator<=>(const AnswerQuery &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber, RequestPromise);
  }
};

/// What a VM knows about a key's execution.
enum class AnswerStatus : uint8_t { None, Running, Promised, Stored };

/// The reply to AnswerQuery; digest and bytes are set if an answer is kept.
struct AnswerReply {
  uint64_t RequestNumber = 0;
  AnswerStatus Status = AnswerStatus::None;
  BodyDigest Digest{};
  std::string Bytes;

  auto operator<=>(const AnswerReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Status, Digest, Bytes);
  }
};

/// Gives a further VM a copy of an answer.
struct AnswerCopy {
  JobKey Key;
  BodyDigest Digest{};
  std::string Bytes;

  auto operator<=>(const AnswerCopy &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, Digest, Bytes);
  }
};

/// All messages between the claims of two VMs.
using ClaimMessage =
    std::variant<GrantRequest, GrantReply, HoldRequest, HoldReply, SealRequest,
                 SealReply, AnswerQuery, AnswerReply, AnswerCopy>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H
