#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "src/passthrough/HostAnnouncement.h"

namespace heatherplank {

/** The announcements of one incarnation of a host that an agent has heard.
 *
 * A single announcement shows neither that its sender is alive nor when it
 * started: it may have been delayed for seconds. Numbers that rise at the pace
 * of announcements show both, since only a living host goes on.
 *
 * No I/O or clock access; not thread safe. */
class AnnouncementSeries
{
public:
  /** Number of a host's first announcement. */
  static constexpr std::uint64_t kFirstNumber = 1;

  /** Starts with the first announcement heard. aInterval: between two
   * announcements of a host. */
  AnnouncementSeries(const HostAnnouncement& aFirst, Duration aInterval,
                     Time aNow);

  /** Whether an announcement is of the incarnation of this series. */
  bool IsOf(const HostAnnouncement& aAnnouncement) const;

  /** Whether an announcement's number is not above the last one heard. */
  bool IsLate(const HostAnnouncement& aAnnouncement) const;

  /** Whether an announcement's number is further above the last one heard than
   * a host can have got since: it is no bound for those that follow. */
  bool IsTooFarAhead(const HostAnnouncement& aAnnouncement, Time aNow) const;

  /** Goes on with the announcements of aOther, which is of the same
   * incarnation. */
  void ContinueWith(const AnnouncementSeries& aOther);

  /** Precondition: IsOf() and not IsLate(). */
  void Add(const HostAnnouncement& aAnnouncement, Time aNow);

  /** Whether announcements were heard for the time between two of a host. */
  bool IsContinued() const { return mIsContinued; }

  /** Whether all of the incarnation's announcements were made after aTime.
   * False until the second one heard came in time: a delayed first announcement
   * looks like that of a host that has just started. */
  bool BeganAfter(Time aTime) const;

  /** Whether a host can have made an announcement of aNumber if it made none
   * before aTime. */
  static bool CanHaveBegunAfter(std::uint64_t aNumber, Duration aInterval,
                                Time aTime, Time aNow);

  /** Upper estimate of the time since the incarnation's first announcement.
   * Does not use the host's start time, since clocks may jump. Unset if the
   * announcements have no numbers. */
  std::optional<Duration> TimeSinceFirst(Time aNow) const;

  const std::string& Id() const { return mId; }
  const std::optional<std::int64_t>& StartedAt() const { return mStartedAt; }
  /** Number of the last one heard; 0 if it has none. */
  std::uint64_t LastNumber() const { return mLastNumber; }
  Time LastAt() const { return mLastAt; }
  /** Whether the first one heard is not the first one made. */
  bool HasMissed() const { return mFirstNumber.value_or(0) > kFirstNumber; }

private:
  const Duration mInterval;
  const std::string mId;
  const std::optional<std::int64_t> mStartedAt;
  const std::optional<std::uint64_t> mFirstNumber;
  const Time mFirstAt;
  std::uint64_t mLastNumber;
  Time mLastAt;
  bool mIsContinued = false;
  /** The second announcement heard followed the first one at its pace. */
  bool mIsFirstInTime = false;
};

} // namespace heatherplank
