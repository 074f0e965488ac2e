#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/metrics/Metrics.h"
#include "src/passthrough/HostAnnouncement.h"
#include "src/passthrough/HostStatus.h"

namespace heatherplank {

/** Decides whether an agent acknowledges the calls that it gets as its host's,
 * and logs and counts those that it refuses. An acknowledgement tells a host
 * that its state is known, so it is given only if the agent believes it.
 *
 * Not thread safe. */
class AnnouncementIntake
{
public:
  struct Options
  {
    /** The service of the agent's host. */
    std::string mService;
    /** Where the agent's host receives packets. */
    Address mHostAddress;
  };

  /** aMetrics must outlive this object. */
  AnnouncementIntake(Options aOptions, MetricsRegistry& aMetrics);

  /** Counts a call that is not in the platform's format. */
  void OnMalformed(const Error& aError, Time aNow);

  /** Fails with Forbidden if the announcement is of a host of another service
   * or at another address: it must not change the host's status. */
  Result<void> Check(const HostAnnouncement& aAnnouncement, Time aNow);

  /** Fails with Conflict if the announcement was ignored. aStatus: after the
   * announcement. */
  Result<void> Conclude(const HostAnnouncement& aAnnouncement,
                        AnnouncementEffect aEffect, const HostStatus& aStatus,
                        Time aNow);

private:
  bool AdmitLine(Time aNow);
  void LogRefusal(const HostAnnouncement& aAnnouncement,
                  std::string_view aReason, Time aNow);

  const Options mOptions;
  Counter& mRefused;
  Counter& mStale;
  Time mLoggedAt{};
  std::uint64_t mLinesLeftOut = 0;
};

} // namespace heatherplank
