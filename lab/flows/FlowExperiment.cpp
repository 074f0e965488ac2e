#include "lab/flows/FlowExperiment.h"

#include <cstdio>
#include <fstream>

#include "lab/flows/OpenFlows.h"
#include "src/base/BarChart.h"
#include "src/settings/JsonReader.h"

namespace heatherplank::lab {

namespace {

constexpr std::int64_t kMostHosts = 5000;
constexpr std::int64_t kMostSlots = 1000;
constexpr double kMostSeconds = 3600;
constexpr double kMostPerSecond = 1e6;
constexpr double kMostMs = 60000;

FlowClass ReadClass(JsonReader& aReader)
{
  static constexpr std::string_view kImportances[] = { "low", "normal", "high",
                                                       "critical" };
  FlowClass out;
  out.mName = aReader.RequiredString("name");
  out.mPerSecond = aReader.Number("per_second", 0, kMostPerSecond, 0);
  out.mWorkMs = aReader.Number("work_ms", 0, kMostMs, out.mWorkMs);
  out.mTargetMs = aReader.Number("target_ms", 1, kMostMs, out.mTargetMs);
  auto importance = aReader.Choice("importance", kImportances, "normal");
  for (std::size_t i = 0; i < std::size(kImportances); ++i) {
    if (kImportances[i] == importance) {
      out.mImportance = static_cast<Importance>(i);
    }
  }
  return out;
}

FlowLoad ReadLoad(JsonReader& aReader)
{
  FlowLoad out;
  out.mName = aReader.RequiredString("name");
  out.mFactor = aReader.Number("factor", 0, 1000, out.mFactor);
  out.mSlowHosts =
    static_cast<std::size_t>(aReader.Integer("slow_hosts", 0, kMostHosts, 0));
  out.mSlowness = aReader.Number("slowness", 1, 1000, out.mSlowness);
  return out;
}

void Read(JsonReader& aReader, FlowExperiment& aOut)
{
  aOut.mTitle = aReader.RequiredString("title");
  aOut.mHosts =
    static_cast<std::size_t>(aReader.RequiredInteger("hosts", 2, kMostHosts));
  aOut.mSlots = static_cast<std::uint32_t>(
    aReader.Integer("slots", 1, kMostSlots, aOut.mSlots));
  aOut.mSeconds = aReader.Number("seconds", 1, kMostSeconds, aOut.mSeconds);
  aOut.mSeed =
    static_cast<unsigned>(aReader.Integer("seed", 0, INT32_MAX, aOut.mSeed));
  aReader.Objects("classes", [&](JsonReader& aIt) {
    aOut.mClasses.push_back(ReadClass(aIt));
  });
  aReader.Objects("loads", [&](JsonReader& aIt) {
    aOut.mLoads.push_back(ReadLoad(aIt));
    if (aOut.mLoads.back().mSlowHosts > aOut.mHosts) {
      aIt.AddFault("slow_hosts", "more than there are hosts",
                   "set at most the value of \"hosts\"");
    }
  });
  if (aOut.mClasses.empty() || aOut.mLoads.empty()) {
    aReader.AddFault("classes", "no class or no load",
                     "list at least one of \"classes\" and of \"loads\"");
  }
}

double ShareInTime(const FlowResult& aResult)
{
  int asked = 0;
  int inTime = 0;
  for (const FlowTally& it : aResult.mTallies) {
    asked += it.mAsked;
    inTime += it.mInTime;
  }
  return asked == 0 ? 0 : 100.0 * inTime / asked;
}

std::string Draw(const FlowLoad& aLoad, std::span<const FlowResult> aResults)
{
  std::vector<std::string> names;
  BarPanel inTime{ aLoad.mName + ": in time, %", {} };
  BarPanel imbalance{ "busiest host over the mean", {} };
  BarPanel lost{ "flows lost as a host left, %", {} };
  for (const FlowResult& it : aResults) {
    names.emplace_back(ToString(it.mPlacement));
    inTime.mValues.push_back(ShareInTime(it));
    imbalance.mValues.push_back(it.mImbalance);
    lost.mValues.push_back(100 * it.mLost);
  }
  const BarPanel panels[] = { inTime, imbalance, lost };
  return DrawBarChart(names, panels);
}

} // namespace

Result<FlowExperiment> ParseFlowExperiment(std::string_view aText,
                                           const std::string& aName)
{
  JsonFaults faults(aName);
  FlowExperiment out;
  ReadJsonDocument(aText, faults,
                   [&](JsonReader& aReader) { Read(aReader, out); });
  if (!faults.IsEmpty()) {
    return tl::unexpected(faults.ToError());
  }
  return out;
}

std::vector<FlowResult> PlayFlowLoad(const FlowExperiment& aExperiment,
                                     const FlowLoad& aLoad)
{
  std::vector<FlowClass> classes = aExperiment.mClasses;
  for (FlowClass& it : classes) {
    it.mPerSecond *= aLoad.mFactor;
  }
  std::vector<FlowResult> out;
  for (int i = 0; i <= static_cast<int>(FlowPlacement::Last); ++i) {
    auto placement = static_cast<FlowPlacement>(i);
    FlowFarm farm(aExperiment.mHosts, aExperiment.mSeed, aExperiment.mSlots);
    for (std::size_t host = 0; host < aLoad.mSlowHosts; ++host) {
      farm.mHosts[host].mSlowness = aLoad.mSlowness;
    }
    farm.Play(classes, aExperiment.mSeconds, placement);
    out.push_back({ placement, farm.mTallies, farm.Imbalance(),
                    farm.LostAfterOneLeft(placement) });
  }
  return out;
}

std::string FlowTable(const FlowExperiment& aExperiment,
                      std::span<const FlowResult> aResults)
{
  std::string out = "| placement | class | requests | in time % | refused % | "
                    "p50 ms | p99 ms | imbalance | flows lost % |\n"
                    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const FlowResult& it : aResults) {
    for (std::size_t i = 0; i < it.mTallies.size(); ++i) {
      const FlowTally& tally = it.mTallies[i];
      char row[256];
      std::snprintf(row, sizeof(row),
                    "| %s | %s | %d | %.1f | %.1f | %.0f | %.0f | %.2f | %.1f "
                    "|\n",
                    std::string(ToString(it.mPlacement)).c_str(),
                    aExperiment.mClasses[i].mName.c_str(), tally.mAsked,
                    100 * tally.Share(),
                    tally.mAsked == 0 ? 0
                                      : 100.0 * tally.mRefused / tally.mAsked,
                    tally.Quantile(0.5), tally.Quantile(0.99), it.mImbalance,
                    100 * it.mLost);
      out += row;
    }
  }
  return out;
}

Result<void> RunFlowExperiment(const std::string& aFile,
                               const std::string& aSvg)
{
  auto experiment = ReadFile(aFile).and_then([&](const std::string& aText) {
    return ParseFlowExperiment(aText, aFile);
  });
  if (!experiment) {
    return tl::unexpected(experiment.error());
  }
  std::printf("## %s\n", experiment->mTitle.c_str());
  std::string drawn;
  for (const FlowLoad& it : experiment->mLoads) {
    auto results = PlayFlowLoad(*experiment, it);
    std::printf("\n### %s\n\n%s", it.mName.c_str(),
                FlowTable(*experiment, results).c_str());
    drawn = Draw(it, results);
  }
  OpenFlowLoad open;
  open.mHosts = experiment->mHosts;
  open.mSlots = experiment->mSlots;
  open.mSeconds = experiment->mSeconds;
  open.mSeed = experiment->mSeed;
  std::printf("\n### requests on open flows\n\n%s",
              OpenFlowTable(open).c_str());
  if (aSvg.empty()) {
    return {};
  }
  std::ofstream file(aSvg);
  file << drawn;
  if (!file.flush()) {
    return Fail(ErrorKind::System, "can't write " + aSvg,
                "give a file in a folder that may be written to");
  }
  return {};
}

} // namespace heatherplank::lab
