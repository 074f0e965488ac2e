#include "src/base/BarChart.h"

#include <algorithm>
#include <cstdio>

namespace heatherplank {

namespace {

// Sizes in pixels.
constexpr int kPanelWidth = 260;
constexpr int kBarHeight = 22;
constexpr int kRowHeight = 30;
constexpr int kTopMargin = 50;
constexpr int kNamesWidth = 120;
/** Leaves room in a panel for the value behind the longest bar. */
constexpr double kMaxBarWidth = 170;

/** Escapes markup characters, since names may come from untrusted input. */
std::string Escape(const std::string& aText)
{
  std::string out;
  for (char it : aText) {
    switch (it) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += it;
    }
  }
  return out;
}

std::string MakeText(int aX, int aY, const std::string& aText)
{
  return "<text x=\"" + std::to_string(aX) + "\" y=\"" + std::to_string(aY) +
         "\">" + Escape(aText) + "</text>\n";
}

std::string MakeBar(int aX, int aY, double aWidth)
{
  char out[128];
  std::snprintf(out, sizeof(out),
                "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\"/>\n", aX,
                aY, std::max(1.0, aWidth), kBarHeight);
  return out;
}

std::string FormatValue(double aValue)
{
  char out[32];
  std::snprintf(out, sizeof(out), "%.2f", aValue);
  return out;
}

std::string DrawPanel(const BarPanel& aPanel, int aX)
{
  double max = 0;
  for (double it : aPanel.mValues) {
    max = std::max(max, it);
  }
  std::string out = MakeText(aX, kTopMargin - 15, aPanel.mTitle);
  int y = kTopMargin;
  for (double it : aPanel.mValues) {
    double width = max > 0 ? it / max * kMaxBarWidth : 0;
    out += MakeBar(aX, y, width);
    out += MakeText(aX + static_cast<int>(width) + 6, y + 16, FormatValue(it));
    y += kRowHeight;
  }
  return out;
}

} // namespace

std::string DrawBarChart(std::span<const std::string> aNames,
                         std::span<const BarPanel> aPanels)
{
  int height = kTopMargin + static_cast<int>(aNames.size()) * kRowHeight + 20;
  int width = kNamesWidth + static_cast<int>(aPanels.size()) * kPanelWidth;
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(width) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"13\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                    "<g fill=\"#35608f\">\n";
  int y = kTopMargin;
  for (const std::string& it : aNames) {
    out += MakeText(10, y + 16, it);
    y += kRowHeight;
  }
  int x = kNamesWidth;
  for (const BarPanel& it : aPanels) {
    out += DrawPanel(it, x);
    x += kPanelWidth;
  }
  return out + "</g>\n</svg>\n";
}

} // namespace heatherplank
