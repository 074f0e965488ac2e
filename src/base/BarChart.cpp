#include "src/base/BarChart.h"

#include <algorithm>
#include <cstdio>

namespace heatherplank {

namespace {

constexpr int kPanelWidth = 260;
constexpr int kBarHeight = 22;
constexpr int kRowHeight = 30;
constexpr int kTop = 50;
constexpr int kNames = 120;
/** Longest bar, with room for its figure behind it. */
constexpr double kLongest = 170;

/** Names may come from outside; they must not become markup. */
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

std::string Text(int aX, int aY, const std::string& aText)
{
  return "<text x=\"" + std::to_string(aX) + "\" y=\"" + std::to_string(aY) +
         "\">" + Escape(aText) + "</text>\n";
}

std::string Bar(int aX, int aY, double aWidth)
{
  char out[128];
  std::snprintf(out, sizeof(out),
                "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\"/>\n", aX,
                aY, std::max(1.0, aWidth), kBarHeight);
  return out;
}

std::string Figure(double aValue)
{
  char out[32];
  std::snprintf(out, sizeof(out), "%.2f", aValue);
  return out;
}

std::string DrawPanel(const BarPanel& aPanel, int aX)
{
  double most = 0;
  for (double it : aPanel.mValues) {
    most = std::max(most, it);
  }
  std::string out = Text(aX, kTop - 15, aPanel.mTitle);
  int y = kTop;
  for (double it : aPanel.mValues) {
    double width = most > 0 ? it / most * kLongest : 0;
    out += Bar(aX, y, width);
    out += Text(aX + static_cast<int>(width) + 6, y + 16, Figure(it));
    y += kRowHeight;
  }
  return out;
}

} // namespace

std::string DrawBarChart(std::span<const std::string> aNames,
                         std::span<const BarPanel> aPanels)
{
  int height = kTop + static_cast<int>(aNames.size()) * kRowHeight + 20;
  int width = kNames + static_cast<int>(aPanels.size()) * kPanelWidth;
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(width) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"13\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                    "<g fill=\"#35608f\">\n";
  int y = kTop;
  for (const std::string& it : aNames) {
    out += Text(10, y + 16, it);
    y += kRowHeight;
  }
  int x = kNames;
  for (const BarPanel& it : aPanels) {
    out += DrawPanel(it, x);
    x += kPanelWidth;
  }
  return out + "</g>\n</svg>\n";
}

} // namespace heatherplank
