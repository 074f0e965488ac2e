#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/json/object.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Latencies in bins that can be added up over processes; each bin is a
 * quarter wider than the one before, so a quantile is good to 25 %. Not thread
 * safe.
 */
class LatencyBins
{
public:
  /** The last bin; it ends beyond a minute. */
  static constexpr std::uint32_t kLastBin = 60;

  void Record(double aMilliseconds, std::uint64_t aCount = 1);
  void Add(const LatencyBins& aOther);
  std::uint64_t Count() const;
  /** The upper edge of the bin that holds the quantile, in milliseconds; 0 if
   * nothing was recorded. aShare is from 0 to 1. */
  double Quantile(double aShare) const;

  /** Number of the bin to count; only bins that hold something. */
  std::map<std::uint32_t, std::uint64_t> mBins;

  bool operator==(const LatencyBins&) const = default;
};

/** How a policy fared while it was in force; figures add up over processes
 * and over the times that it was in force. Not thread safe.
 */
struct PolicyFigures
{
  std::string mName;
  /** Process time in force, summed over processes. */
  double mSeconds = 0;
  std::uint64_t mFlowsOpened = 0;
  std::uint64_t mFlowsBroken = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  /** Sum and number of samples of the imbalance of a service's hosts: the
   * largest load over the mean, less 1. */
  double mImbalanceSum = 0;
  std::uint64_t mImbalanceSamples = 0;
  /** By reason. */
  std::map<std::string, std::uint64_t> mRefusals;
  std::map<std::string, std::uint64_t> mRetries;
  /** By the rule's importance. */
  std::map<std::string, LatencyBins> mLatency;

  bool operator==(const PolicyFigures&) const = default;

  /** Precondition: the same policy. */
  void Add(const PolicyFigures& aOther);

  double Imbalance() const;
  /** Broken flows per hundred that were opened. */
  double BrokenPercent() const;
  /** Weighted mean of BrokenPercent and Imbalance in percent; lower is
   * better. */
  double Score(const PolicyChoice& aWeights) const;
};

/** The JSON form in report objects (docs/ADMIN.md). Thread safe. */
boost::json::object ToJson(const PolicyFigures& aFigures);
PolicyFigures ReadPolicyFigures(JsonReader& aReader);

} // namespace heatherplank
