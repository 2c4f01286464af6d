#include "claims/internal/answers.h"

namespace sapphiremoor::detail {

namespace {

// Size of the two map nodes and of the prefix in the two keys, rounded up.
constexpr std::size_t BytesPerAnswer = 1024;

void dropOldestAnswer(ClaimState &State) {
  const auto OldestIt = State.AnswerOrder.begin();
  const auto AnswerIt = State.Answers.find(OldestIt->second.second);
  State.AnswerBytes -= AnswerIt->second.Bytes.size() + BytesPerAnswer;
  State.Answers.erase(AnswerIt);
  State.AnswerOrder.erase(OldestIt);
}

} // namespace

void addAnswer(ClaimState &State, const JobKey &Key, const BodyDigest &Digest,
               std::string Bytes, Instant Now) {
  if (State.Answers.contains(Key))
    return;
  const uint64_t Order = ++State.LastAnswerOrder;
  State.AnswerBytes += Bytes.size() + BytesPerAnswer;
  State.Answers.emplace(Key, StoredAnswer{Digest, std::move(Bytes), Order});
  State.AnswerOrder.emplace(Order, std::pair(Now, Key));
  // The newest answer stays even if it exceeds the limit, because its caller is
  // about to read it.
  while (State.AnswerBytes > State.Limits.MaxAnswerBytes &&
         State.AnswerOrder.size() > 1)
    dropOldestAnswer(State);
}

const StoredAnswer *findAnswer(const ClaimState &State, const JobKey &Key) {
  const auto AnswerIt = State.Answers.find(Key);
  return AnswerIt == State.Answers.end() ? nullptr : &AnswerIt->second;
}

void expireAnswers(ClaimState &State, Instant Now) {
  while (!State.AnswerOrder.empty() && State.AnswerOrder.begin()->second.first +
                                               State.Limits.AnswerLifetime <=
                                           Now)
    dropOldestAnswer(State);
}

} // namespace sapphiremoor::detail
