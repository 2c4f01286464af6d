#ifndef SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H
#define SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H

#include "claims/types/jobkey.h"

#include <optional>
#include <string>
#include <variant>

namespace sapphiremoor {

/// Why a VM asks about a key.
enum class ClaimIntent : uint8_t {
  /// The sender wants to execute the job.
  Claim,
  /// The sender promises never to start the key.
  Refuse,
  /// The sender looks for the executor or the answer.
  Find,
};

/// What the issuer's record says about a key.
enum class GrantVerdict : uint8_t {
  Granted,
  /// The key was refused; it never runs.
  Void,
  /// The key is not granted and the issuer has sealed the prefix, so the key
  /// never runs.
  Sealed,
  /// The key is neither granted nor void. Sent only in reply to Find.
  NotGranted,
  /// The issuer has dropped the record of the prefix. It knows nothing about
  /// the key and will not grant it.
  TooOld,
  /// The receiver is not the incarnation that issued the prefix.
  NotIssuer,
};

/// Asks the issuer to grant a key to the sender.
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

/// Replies to GrantRequest. Executor and Digest are set if the key is granted.
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

/// Asks a member to record the grant that the issuer gave to the sender.
struct HoldRequest {
  JobKey Key;
  uint64_t RequestNumber = 0;
  BodyDigest Digest{};

  auto operator<=>(const HoldRequest &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber, Digest);
  }
};

/// Replies to HoldRequest. Held is false if the member has not recorded the
/// grant, for example because it has sealed or dropped the prefix.
struct HoldReply {
  uint64_t RequestNumber = 0;
  bool Held = false;

  auto operator<=>(const HoldReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Held);
  }
};

/// Asks a member to record no further grant of the key's prefix and to report
/// the grant that it holds for the key.
struct SealRequest {
  JobKey Key;
  uint64_t RequestNumber = 0;

  auto operator<=>(const SealRequest &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber);
  }
};

/// A grant that a sealed member holds.
struct GrantReport {
  VmId Executor;
  BodyDigest Digest{};
  /// True if a forwarding VM recorded the grant; the issuer may have granted
  /// the key to another executor.
  bool Provisional = false;

  auto operator<=>(const GrantReport &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Executor, Digest, Provisional);
  }
};

/// Whether a member has sealed a prefix.
enum class SealVerdict : uint8_t { Sealed, NotMember, TooOld };

/// Replies to SealRequest.
struct SealReply {
  uint64_t RequestNumber = 0;
  SealVerdict Verdict = SealVerdict::NotMember;
  std::optional<GrantReport> Report;

  auto operator<=>(const SealReply &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(RequestNumber, Verdict, Report);
  }
};

/// Asks for a stored answer. With RequestPromise, the receiver also promises
/// never to start the key, unless it has started it or a pending claim may
/// still start it.
struct AnswerQuery {
  JobKey Key;
  uint64_t RequestNumber = 0;
  bool RequestPromise = false;

  auto operator<=>(const AnswerQuery &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, RequestNumber, RequestPromise);
  }
};

/// What a VM knows about the execution of a key.
enum class AnswerStatus : uint8_t { None, Running, Promised, Stored };

/// Replies to AnswerQuery. Digest and Bytes are set if an answer is stored.
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

/// Carries a copy of an answer to another VM.
struct AnswerCopy {
  JobKey Key;
  BodyDigest Digest{};
  std::string Bytes;

  auto operator<=>(const AnswerCopy &) const = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key, Digest, Bytes);
  }
};

/// Any message that claims of two VMs exchange.
using ClaimMessage =
    std::variant<GrantRequest, GrantReply, HoldRequest, HoldReply, SealRequest,
                 SealReply, AnswerQuery, AnswerReply, AnswerCopy>;

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CLAIMS_TYPES_CLAIMMESSAGE_H
