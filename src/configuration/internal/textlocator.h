#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_TEXTLOCATOR_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_TEXTLOCATOR_H

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphiremoor {

/// Converts byte offsets in a text to lines and columns. It continues from the
/// previous offset, so ascending offsets read the text only once.
class TextLocator {
public:
  TextLocator(std::string_view Text, std::string FileName);

  /// Returns "FILE:LINE:COLUMN" for the byte at \p Offset. Line and column
  /// count from 1; columns count UTF-8 characters.
  std::string locate(std::size_t Offset);

private:
  void advance(char Byte);

  std::string_view Text;
  std::string FileName;
  std::size_t Position = 0;
  std::size_t Line = 1;
  std::size_t Column = 1;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_TEXTLOCATOR_H
