#include "src/status/ReportPlot.h"

#include "src/base/BarChart.h"

namespace heatherplank {

namespace {

double MedianLatency(const PolicyFigures& aFigures)
{
  LatencyBins all;
  for (const auto& [importance, bins] : aFigures.mLatency) {
    all.Add(bins);
  }
  return all.Quantile(0.5);
}

} // namespace

std::string DrawReport(const std::map<std::string, PolicyFigures>& aFigures,
                       const PolicyChoice& aWeights)
{
  std::vector<std::string> names;
  BarPanel score{ "score (lower is better)", {} };
  BarPanel imbalance{ "imbalance, % of the mean load", {} };
  BarPanel latency{ "latency p50, ms", {} };
  for (const auto& [name, figures] : aFigures) {
    names.push_back(name);
    score.mValues.push_back(figures.Score(aWeights));
    imbalance.mValues.push_back(figures.Imbalance() * 100);
    latency.mValues.push_back(MedianLatency(figures));
  }
  const BarPanel panels[] = { score, imbalance, latency };
  return DrawBarChart(names, panels);
}

} // namespace heatherplank
