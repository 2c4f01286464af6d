#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H

#include <string>
#include <string_view>

namespace sapphiremoor {

/// A point, in pixels from the upper left corner.
struct SvgPoint {
  double X = 0;
  double Y = 0;
};

/// A rectangle with horizontal and vertical edges.
struct SvgBox {
  SvgPoint TopLeft;
  double Width = 0;
  double Height = 0;
};

/// Part of a text that is placed at its position.
enum class SvgAnchor { Start, Middle, End };

/// Writes simple shapes to an SVG image.
class SvgWriter {
public:
  SvgWriter(double Width, double Height);

  void drawLine(SvgPoint Start, SvgPoint End, std::string_view Colour,
                bool IsDashed = false);
  /// Draws a box. Viewers show \p Tooltip when the pointer is over it.
  void drawBox(const SvgBox &Box, std::string_view Colour,
               std::string_view Tooltip = {});
  void drawText(SvgPoint Position, std::string_view Text, double Size,
                SvgAnchor Anchor = SvgAnchor::Start);
  /// Draws a text that reads upwards, centred at \p Position.
  void drawVerticalText(SvgPoint Position, std::string_view Text, double Size);

  /// Returns the finished image.
  std::string finish() const;

private:
  std::string Body;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H
