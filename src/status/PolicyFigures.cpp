#include "src/status/PolicyFigures.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr double kFirstBinEdgeMs = 0.1;
constexpr double kBinGrowth = 1.25;
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr double kMaxSum = 1e15;
constexpr double kPercent = 100;

json::object ToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object out;
  for (const auto& [reason, n] : aCounts) {
    out[reason] = n;
  }
  return out;
}

json::object ToJson(const LatencyBins& aBins)
{
  json::object out;
  for (const auto& [bin, n] : aBins.mBins) {
    out[std::to_string(bin)] = n;
  }
  return out;
}

std::uint64_t ReadCount(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.Integer(aKey, 0, kMaxInteger, 0));
}

std::map<std::string, std::uint64_t> ReadCounts(JsonReader& aReader,
                                                std::string_view aKey)
{
  std::map<std::string, std::uint64_t> out;
  aReader.Object(aKey, [&](JsonReader& aPart) {
    for (const auto& it : aPart.Keys()) {
      out[it] = ReadCount(aPart, it);
    }
  });
  return out;
}

LatencyBins ReadBins(JsonReader& aReader, std::string_view aKey)
{
  LatencyBins out;
  for (const auto& [key, n] : ReadCounts(aReader, aKey)) {
    std::uint32_t bin = 0;
    auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), bin);
    if (ec != std::errc() || bin > LatencyBins::kLastBin) {
      aReader.AddFault(aKey, "invalid latency bin " + key,
                       "use bins from 0 to 60");
    } else {
      out.mBins[bin] = n;
    }
  }
  return out;
}

} // namespace

void LatencyBins::Record(double aMilliseconds, std::uint64_t aCount)
{
  double bin = std::ceil(
    std::log(std::max(aMilliseconds, kFirstBinEdgeMs) / kFirstBinEdgeMs) /
    std::log(kBinGrowth));
  mBins[static_cast<std::uint32_t>(std::min<double>(bin, kLastBin))] += aCount;
}

void LatencyBins::Add(const LatencyBins& aOther)
{
  for (const auto& [bin, n] : aOther.mBins) {
    mBins[bin] += n;
  }
}

std::uint64_t LatencyBins::Count() const
{
  std::uint64_t sum = 0;
  for (const auto& it : mBins) {
    sum += it.second;
  }
  return sum;
}

double LatencyBins::Quantile(double aShare) const
{
  double target = aShare * static_cast<double>(Count());
  std::uint64_t sum = 0;
  for (const auto& [bin, n] : mBins) {
    sum += n;
    if (static_cast<double>(sum) >= target) {
      return kFirstBinEdgeMs * std::pow(kBinGrowth, bin);
    }
  }
  return 0;
}

void PolicyFigures::Add(const PolicyFigures& aOther)
{
  mSeconds += aOther.mSeconds;
  mFlowsOpened += aOther.mFlowsOpened;
  mFlowsBroken += aOther.mFlowsBroken;
  mRequests += aOther.mRequests;
  mAnswered += aOther.mAnswered;
  mImbalanceSum += aOther.mImbalanceSum;
  mImbalanceSamples += aOther.mImbalanceSamples;
  for (const auto& [reason, n] : aOther.mRefusals) {
    mRefusals[reason] += n;
  }
  for (const auto& [reason, n] : aOther.mRetries) {
    mRetries[reason] += n;
  }
  for (const auto& [importance, bins] : aOther.mLatency) {
    mLatency[importance].Add(bins);
  }
}

double PolicyFigures::Imbalance() const
{
  return mImbalanceSamples == 0
           ? 0
           : mImbalanceSum / static_cast<double>(mImbalanceSamples);
}

double PolicyFigures::BrokenPercent() const
{
  return mFlowsOpened == 0 ? 0
                           : kPercent * static_cast<double>(mFlowsBroken) /
                               static_cast<double>(mFlowsOpened);
}

double PolicyFigures::Score(const PolicyChoice& aWeights) const
{
  double sum = aWeights.mBrokenFlowsWeight + aWeights.mImbalanceWeight;
  return sum <= 0 ? 0
                  : (aWeights.mBrokenFlowsWeight * BrokenPercent() +
                     aWeights.mImbalanceWeight * kPercent * Imbalance()) /
                      sum;
}

json::object ToJson(const PolicyFigures& aFigures)
{
  json::object latency;
  for (const auto& [importance, bins] : aFigures.mLatency) {
    latency[importance] = ToJson(bins);
  }
  json::object out;
  out["name"] = aFigures.mName;
  out["seconds"] = aFigures.mSeconds;
  out["flows_opened"] = aFigures.mFlowsOpened;
  out["flows_broken"] = aFigures.mFlowsBroken;
  out["requests"] = aFigures.mRequests;
  out["answered"] = aFigures.mAnswered;
  out["imbalance_sum"] = aFigures.mImbalanceSum;
  out["imbalance_samples"] = aFigures.mImbalanceSamples;
  out["refusals"] = ToJson(aFigures.mRefusals);
  out["retries"] = ToJson(aFigures.mRetries);
  out["latency_bins"] = std::move(latency);
  return out;
}

PolicyFigures ReadPolicyFigures(JsonReader& aReader)
{
  PolicyFigures out;
  out.mName = aReader.RequiredString("name");
  out.mSeconds = aReader.Number("seconds", 0, kMaxSum, 0);
  out.mFlowsOpened = ReadCount(aReader, "flows_opened");
  out.mFlowsBroken = ReadCount(aReader, "flows_broken");
  out.mRequests = ReadCount(aReader, "requests");
  out.mAnswered = ReadCount(aReader, "answered");
  out.mImbalanceSum = aReader.Number("imbalance_sum", 0, kMaxSum, 0);
  out.mImbalanceSamples = ReadCount(aReader, "imbalance_samples");
  out.mRefusals = ReadCounts(aReader, "refusals");
  out.mRetries = ReadCounts(aReader, "retries");
  aReader.Object("latency_bins", [&](JsonReader& aPart) {
    for (const auto& it : aPart.Keys()) {
      out.mLatency[it] = ReadBins(aPart, it);
    }
  });
  return out;
}

} // namespace heatherplank
