#include "src/status/ReportPlot.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace heatherplank {

namespace {

constexpr int kPanelWidth = 260;
constexpr int kBarHeight = 22;
constexpr int kRowHeight = 30;
constexpr int kTop = 50;
constexpr int kNames = 120;
/** Longest bar, with room for its figure behind it. */
constexpr double kLongest = 170;

/** One figure of the policies, side by side. */
struct Panel
{
  const char* mTitle;
  std::function<double(const PolicyFigures&)> mValue;
};

double MedianLatency(const PolicyFigures& aFigures)
{
  LatencyBins all;
  for (const auto& [importance, bins] : aFigures.mLatency) {
    all.Add(bins);
  }
  return all.Quantile(0.5);
}

/** Policy names come from the platform; they must not become markup. */
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

std::string DrawPanel(const Panel& aPanel, int aX,
                      const std::map<std::string, PolicyFigures>& aFigures)
{
  double most = 0;
  for (const auto& [name, figures] : aFigures) {
    most = std::max(most, aPanel.mValue(figures));
  }
  std::string out = Text(aX, kTop - 15, aPanel.mTitle);
  int y = kTop;
  for (const auto& [name, figures] : aFigures) {
    double value = aPanel.mValue(figures);
    double width = most > 0 ? value / most * kLongest : 0;
    out += Bar(aX, y, width);
    out += Text(aX + static_cast<int>(width) + 6, y + 16, Figure(value));
    y += kRowHeight;
  }
  return out;
}

} // namespace

std::string DrawReport(const std::map<std::string, PolicyFigures>& aFigures,
                       const PolicyChoice& aWeights)
{
  const Panel panels[] = {
    { "score (lower is better)",
      [&](const PolicyFigures& aIt) { return aIt.Score(aWeights); } },
    { "imbalance, % of the mean load",
      [](const PolicyFigures& aIt) { return aIt.Imbalance() * 100; } },
    { "latency p50, ms", MedianLatency },
  };
  int rows = static_cast<int>(aFigures.size());
  int height = kTop + rows * kRowHeight + 20;
  int width = kNames + 3 * kPanelWidth;
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(width) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"13\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                    "<g fill=\"#35608f\">\n";
  int y = kTop;
  for (const auto& [name, figures] : aFigures) {
    out += Text(10, y + 16, name);
    y += kRowHeight;
  }
  int x = kNames;
  for (const auto& it : panels) {
    out += DrawPanel(it, x, aFigures);
    x += kPanelWidth;
  }
  return out + "</g>\n</svg>\n";
}

} // namespace heatherplank
