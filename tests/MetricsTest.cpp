#include "src/metrics/Metrics.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Metrics){};

TEST(Metrics, PrintsCountersWithLabels)
{
  MetricsRegistry registry;
  registry.GetCounter("refused_total", "reason=\"queue_full\"").Add(3);
  auto text = registry.ToPrometheus();
  CHECK_TRUE(text.find("# TYPE refused_total counter\n"
                       "refused_total{reason=\"queue_full\"} 3\n") !=
             std::string::npos);
}

TEST(Metrics, QuantilesAreAccurateToABin)
{
  Histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(i);
  }
  DOUBLES_EQUAL(500, histogram.Quantile(0.5), 25);
  DOUBLES_EQUAL(990, histogram.Quantile(0.99), 50);
  CHECK_EQUAL(1000, histogram.Count());
}
