#include "servicelevel/internal/svgwriter.h"

#include <cstdio>

namespace sapphiremoor {

namespace {

std::string escape(std::string_view Text) {
  std::string Escaped;
  for (const char C : Text) {
    if (C == '&')
      Escaped += "&amp;";
    else if (C == '<')
      Escaped += "&lt;";
    else if (C == '>')
      Escaped += "&gt;";
    else if (C == '"')
      Escaped += "&quot;";
    else
      Escaped += C;
  }
  return Escaped;
}

std::string number(double Value) {
  char Digits[32];
  std::snprintf(Digits, sizeof(Digits), "%.1f", Value);
  return Digits;
}

std::string attribute(std::string_view Name, double Value) {
  return " " + std::string(Name) + "=\"" + number(Value) + "\"";
}

std::string attribute(std::string_view Name, std::string_view Value) {
  return " " + std::string(Name) + "=\"" + escape(Value) + "\"";
}

std::string_view anchorName(SvgAnchor Anchor) {
  switch (Anchor) {
  case SvgAnchor::Start:
    return "start";
  case SvgAnchor::Middle:
    return "middle";
  case SvgAnchor::End:
    return "end";
  }
  return "start";
}

} // namespace

SvgWriter::SvgWriter(double Width, double Height) {
  Body = "<svg xmlns=\"http://www.w3.org/2000/svg\"" +
         attribute("width", Width) + attribute("height", Height) +
         " viewBox=\"0 0 " + number(Width) + " " + number(Height) + "\"" +
         " font-family=\"sans-serif\" fill=\"#222222\">\n";
  drawBox({{0, 0}, Width, Height}, "#ffffff");
}

void SvgWriter::drawLine(SvgPoint Start, SvgPoint End, std::string_view Colour,
                         bool IsDashed) {
  Body += "<line" + attribute("x1", Start.X) + attribute("y1", Start.Y) +
          attribute("x2", End.X) + attribute("y2", End.Y) +
          attribute("stroke", Colour) +
          (IsDashed ? " stroke-dasharray=\"6 4\"" : "") + "/>\n";
}

void SvgWriter::drawBox(const SvgBox &Box, std::string_view Colour,
                        std::string_view Tooltip) {
  Body += "<rect" + attribute("x", Box.TopLeft.X) +
          attribute("y", Box.TopLeft.Y) + attribute("width", Box.Width) +
          attribute("height", Box.Height) + attribute("fill", Colour);
  Body += Tooltip.empty() ? "/>\n"
                          : "><title>" + escape(Tooltip) + "</title></rect>\n";
}

void SvgWriter::drawText(SvgPoint Position, std::string_view Text, double Size,
                         SvgAnchor Anchor) {
  Body += "<text" + attribute("x", Position.X) + attribute("y", Position.Y) +
          attribute("font-size", Size) +
          attribute("text-anchor", anchorName(Anchor)) + ">" + escape(Text) +
          "</text>\n";
}

void SvgWriter::drawVerticalText(SvgPoint Position, std::string_view Text,
                                 double Size) {
  const std::string Coordinates = number(Position.X) + " " + number(Position.Y);
  Body += "<text" + attribute("font-size", Size) +
          " text-anchor=\"middle\" transform=\"translate(" + Coordinates +
          ") rotate(-90)\">" + escape(Text) + "</text>\n";
}

std::string SvgWriter::finish() const { return Body + "</svg>\n"; }

} // namespace sapphiremoor
