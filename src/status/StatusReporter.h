#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/status/StatusBoard.h"

namespace heatherplank {

/** Gathers what a process has to report of itself, and says when a report is
 * due. Pure; not thread safe.
 */
class StatusReporter
{
public:
  struct Options
  {
    /** Name, role, data centre and admin port; the rest is filled in. */
    ProcessStatus mProcess;
    /** With figures to report. With 304 processes to one of a data centre's 8
     * keepers and 300 bytes a report, a keeper takes in 9 KB/s. */
    Duration mPeriod = std::chrono::seconds(10);
    /** With nothing new: a sign of life. */
    Duration mLongest = std::chrono::seconds(60);
    /** After a new version came into force: soon, but one report for several
     * that follow on each other. */
    Duration mAfterChange = std::chrono::seconds(1);
  };

  explicit StatusReporter(Options aOptions);

  /** A version came into force. aWallMs: milliseconds since the Unix epoch. */
  void OnInForce(std::uint64_t aVersion, std::int64_t aWallMs, Time aNow);

  /** Where to add what is counted while a policy is in force; valid until the
   * next Tick. */
  PolicyFigures& Figures(const std::string& aPolicy);

  /** The report, if one is due. Its figures are not reported again. */
  std::optional<StatusReport> Tick(Time aNow);

private:
  bool IsDue(Time aNow) const;

  Options mOptions;
  std::map<std::string, PolicyFigures> mFigures;
  std::optional<Time> mChangedAt;
  Time mSentAt{};
};

/** The balancer that keeps a shard's board: the first of its data centre by
 * rendezvous hash, so that all reporters find the same one without being told;
 * none if there is no balancer. While views differ two may keep it; the boards
 * merge in the platform's object. Thread safe.
 */
HostId ChooseStatusKeeper(std::uint32_t aShard,
                          std::span<const HostId> aBalancers);

} // namespace heatherplank
