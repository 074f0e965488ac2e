#include "src/status/ReportPlot.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(ReportPlot){};

TEST(ReportPlot, DrawsABarPerPolicyAndStatistic)
{
  std::map<std::string, PolicyFigures> figures;
  for (const char* name : { "random", "two-choices" }) {
    PolicyFigures& it = figures[name];
    it.mName = name;
    it.mImbalanceSum = name[0] == 'r' ? 8 : 4;
    it.mImbalanceSamples = 10;
    it.mLatency["high"].Record(5);
  }
  std::string svg = DrawReport(figures, {});
  std::size_t bars = 0;
  for (auto at = svg.find("<rect x="); at != std::string::npos;
       at = svg.find("<rect x=", at + 1)) {
    ++bars;
  }
  CHECK_EQUAL(6, bars);
  STRCMP_CONTAINS("two-choices", svg.c_str());
  STRCMP_CONTAINS(">80.00<", svg.c_str());
  STRCMP_CONTAINS(">40.00<", svg.c_str());
}

// A policy's name comes from the platform. Unescaped, it could break the SVG
// document or run a script in a browser.
TEST(ReportPlot, PolicyNamesAreEscaped)
{
  std::map<std::string, PolicyFigures> figures;
  figures["<script>"].mName = "<script>";
  std::string svg = DrawReport(figures, {});
  CHECK_TRUE(svg.find("<script>") == std::string::npos);
  STRCMP_CONTAINS("&lt;script&gt;", svg.c_str());
}

TEST(ReportPlot, DrawsAnEmptyDocumentWithoutPolicies)
{
  STRCMP_CONTAINS("</svg>", DrawReport({}, {}).c_str());
}
