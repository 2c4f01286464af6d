#include "framework/core/text.h"

#include <algorithm>
#include <numeric>

namespace sapphiremoor {

std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      const std::size_t Substituted = Diagonal + (A[I - 1] != B[J - 1] ? 1 : 0);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Substituted});
    }
  }
  return Row.back();
}

std::optional<std::string>
nearestName(std::string_view Word, const std::vector<std::string> &KnownNames) {
  const auto Nearest =
      std::ranges::min_element(KnownNames, {}, [Word](const std::string &Name) {
        return editDistance(Word, Name);
      });
  if (Nearest == KnownNames.end() ||
      editDistance(Word, *Nearest) * 3 > std::max<std::size_t>(Word.size(), 3))
    return std::nullopt;
  return *Nearest;
}

} // namespace sapphiremoor
