#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/json/object.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Histogram of latencies that can be summed over processes. The upper edge of
 * each bin is 25 % above the previous one, so a quantile is accurate to 25 %.
 * Not thread safe.
 */
class LatencyBins
{
public:
  /** The last bin; its upper edge is above 60 s. Also counts larger values. */
  static constexpr std::uint32_t kLastBin = 60;

  void Record(double aMilliseconds, std::uint64_t aCount = 1);
  void Add(const LatencyBins& aOther);
  std::uint64_t Count() const;
  /** The upper edge of the bin that holds the quantile, in milliseconds; 0 if
   * nothing was recorded. aShare is from 0 to 1. */
  double Quantile(double aShare) const;

  /** Count by bin number; empty bins are absent. */
  std::map<std::uint32_t, std::uint64_t> mBins;

  bool operator==(const LatencyBins&) const = default;
};

/** Statistics of a policy while it was in force. They can be summed over
 * processes and over periods in force. Not thread safe.
 */
struct PolicyFigures
{
  std::string mName;
  /** Time in force in seconds, summed over processes. */
  double mSeconds = 0;
  std::uint64_t mFlowsOpened = 0;
  std::uint64_t mFlowsBroken = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  /** Sum and number of samples of the imbalance among a service's hosts: the
   * largest load divided by the mean, minus 1. */
  double mImbalanceSum = 0;
  std::uint64_t mImbalanceSamples = 0;
  /** Refusals and retries by reason. */
  std::map<std::string, std::uint64_t> mRefusals;
  std::map<std::string, std::uint64_t> mRetries;
  /** Latencies by the importance of the matching rule. */
  std::map<std::string, LatencyBins> mLatency;

  bool operator==(const PolicyFigures&) const = default;

  /** Adds aOther. Precondition: both are of the same policy. */
  void Add(const PolicyFigures& aOther);

  double Imbalance() const;
  /** Broken flows as a percentage of opened flows. */
  double BrokenPercent() const;
  /** Weighted mean of BrokenPercent and Imbalance in percent; lower is
   * better. */
  double Score(const PolicyChoice& aWeights) const;
};

/** JSON form in report objects (docs/ADMIN.md). Both are thread safe. */
boost::json::object ToJson(const PolicyFigures& aFigures);
PolicyFigures ReadPolicyFigures(JsonReader& aReader);

} // namespace heatherplank
