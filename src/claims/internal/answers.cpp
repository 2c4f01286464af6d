#include "claims/internal/answers.h"

namespace sapphiremoor::detail {

namespace {

// Size of the two map nodes and of the prefix in the two keys, rounded up.
constexpr std::size_t AnswerCost = 1024;

void dropOldest(ClaimState &State) {
  const auto Oldest = State.AnswerOrder.begin();
  const auto Answer = State.Answers.find(Oldest->second.second);
  State.AnswerBytes -= Answer->second.Bytes.size() + AnswerCost;
  State.Answers.erase(Answer);
  State.AnswerOrder.erase(Oldest);
}

} // namespace

void keepAnswer(ClaimState &State, const JobKey &Key, const BodyDigest &Digest,
                std::string Bytes, Instant Now) {
  if (State.Answers.contains(Key))
    return;
  const uint64_t Order = ++State.LastAnswer;
  State.AnswerBytes += Bytes.size() + AnswerCost;
  State.Answers.emplace(Key, KeptAnswer{Digest, std::move(Bytes), Order});
  State.AnswerOrder.emplace(Order, std::pair(Now, Key));
  // The newest answer stays, because its caller is about to read it.
  while (State.AnswerBytes > State.Limits.AnswerBytes &&
         State.AnswerOrder.size() > 1)
    dropOldest(State);
}

const KeptAnswer *findAnswer(const ClaimState &State, const JobKey &Key) {
  const auto Found = State.Answers.find(Key);
  return Found == State.Answers.end() ? nullptr : &Found->second;
}

void expireAnswers(ClaimState &State, Instant Now) {
  while (!State.AnswerOrder.empty() &&
         State.AnswerOrder.begin()->second.first + State.Limits.AnswersKept <=
             Now)
    dropOldest(State);
}

} // namespace sapphiremoor::detail
