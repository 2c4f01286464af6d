#ifndef SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H
#define SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H

#include <string>
#include <string_view>

namespace sapphiremoor {

/// A point in pixels from the upper left corner.
struct SvgPoint {
  double X = 0;
  double Y = 0;
};

/// An upright rectangle.
struct SvgBox {
  SvgPoint Corner;
  double Width = 0;
  double Height = 0;
};

/// Which part of a text lies at its point.
enum class SvgAnchor { Start, Middle, End };

/// Appends simple shapes to an SVG image.
class SvgWriter {
public:
  SvgWriter(double Width, double Height);

  void line(SvgPoint From, SvgPoint To, std::string_view Colour,
            bool IsDashed = false);
  /// \p Tip is shown by viewers when the pointer rests on the box.
  void box(const SvgBox &Box, std::string_view Colour,
           std::string_view Tip = {});
  void text(SvgPoint At, std::string_view Text, double Size,
            SvgAnchor Anchor = SvgAnchor::Start);
  /// Writes a text upwards, centred at \p At.
  void uprightText(SvgPoint At, std::string_view Text, double Size);

  /// Returns the finished image.
  std::string finish() const;

private:
  std::string Body;
};

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_SERVICELEVEL_INTERNAL_SVGWRITER_H
