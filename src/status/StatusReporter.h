#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/status/StatusAggregator.h"

namespace heatherplank {

/** Collects the status and statistics of this process, and determines when a
 * report is due. No I/O or clock access; not thread safe.
 */
class StatusReporter
{
public:
  struct Options
  {
    /** Name, role, data centre and admin port; OnInForce sets the version. */
    ProcessStatus mProcess;
    /** Interval between reports with figures. With 304 processes in each of a
     * data centre's 8 shards and 300 bytes per report, the balancer that
     * aggregates a shard receives 9 KB/s. */
    Duration mPeriod = std::chrono::seconds(10);
    /** Interval between reports without figures, sent as a heartbeat. */
    Duration mMaxPeriod = std::chrono::seconds(60);
    /** Delay of the report after a new version comes into force, so that
     * several versions in quick succession cause one report. */
    Duration mChangeDelay = std::chrono::seconds(1);
  };

  explicit StatusReporter(Options aOptions);

  /** A version came into force. aWallMs: milliseconds since the Unix epoch. */
  void OnInForce(std::uint64_t aVersion, std::int64_t aWallMs, Time aNow);

  /** Statistics of a policy since the last report, for the caller to add to.
   * Valid until the next Tick. */
  PolicyFigures& Figures(const std::string& aPolicy);

  /** Returns a report if one is due, and resets the figures. */
  std::optional<StatusReport> Tick(Time aNow);

private:
  bool IsDue(Time aNow) const;

  Options mOptions;
  std::map<std::string, PolicyFigures> mFigures;
  std::optional<Time> mChangedAt;
  Time mSentAt{};
};

/** The balancer that aggregates a shard's status: the highest of its data
 * centre by rendezvous hash, so that all reporters choose the same one without
 * coordination; none if there is no balancer. While membership views differ,
 * two may aggregate a shard; their writes merge in the object. Thread safe.
 */
HostId ChooseStatusAggregator(std::uint32_t aShard,
                              std::span<const HostId> aBalancers);

} // namespace heatherplank
