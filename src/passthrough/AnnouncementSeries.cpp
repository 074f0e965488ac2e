#include "src/passthrough/AnnouncementSeries.h"

#include <algorithm>

namespace heatherplank {

namespace {

/** Announcements come about once per interval. The shortest and the longest
 * time between two of a living host, as percentages of the interval. */
constexpr int kMinIntervalPercent = 60;
constexpr int kMaxIntervalPercent = 150;
/** A host may repeat its first announcement at once if its agent does not
 * answer. */
constexpr std::uint64_t kRepeatedAtOnce = 1;
/** Maximum number of announcements missed by an agent that has still observed
 * its host from the start. */
constexpr std::uint64_t kMaxMissed = 2;
/** A host counts each try of an announcement: a few balancers and agents in
 * turn, again and again while none answers. */
constexpr std::uint64_t kMaxStep = 100;
constexpr std::uint64_t kMaxStepPerInterval = 20;
/** Keeps products of intervals in range. */
constexpr std::uint64_t kMaxNumber = 1000000;

Duration Times(std::uint64_t aIntervals, Duration aInterval, int aPercent = 100)
{
  return std::min(aIntervals, kMaxNumber) * aInterval * aPercent / 100;
}

} // namespace

AnnouncementSeries::AnnouncementSeries(const HostAnnouncement& aFirst,
                                       Duration aInterval, Time aNow)
  : mInterval(aInterval)
  , mId(aFirst.mId)
  , mStartedAt(aFirst.mStartedAt)
  , mFirstNumber(aFirst.mSequence)
  , mFirstAt(aNow)
  , mLastNumber(aFirst.mSequence.value_or(0))
  , mLastAt(aNow)
{
}

bool AnnouncementSeries::IsOf(const HostAnnouncement& aAnnouncement) const
{
  return aAnnouncement.mId == mId && aAnnouncement.mStartedAt == mStartedAt;
}

bool AnnouncementSeries::IsLate(const HostAnnouncement& aAnnouncement) const
{
  return mLastNumber > 0 && aAnnouncement.mSequence.value_or(0) <= mLastNumber;
}

bool AnnouncementSeries::IsTooFarAhead(const HostAnnouncement& aAnnouncement,
                                       Time aNow) const
{
  std::uint64_t number = aAnnouncement.mSequence.value_or(0);
  if (mLastNumber == 0 || number <= mLastNumber) {
    return false;
  }
  auto intervals = static_cast<std::uint64_t>((aNow - mLastAt) / mInterval);
  return number - mLastNumber > kMaxStep + intervals * kMaxStepPerInterval;
}

void AnnouncementSeries::ContinueWith(const AnnouncementSeries& aOther)
{
  mLastNumber = aOther.mLastNumber;
  mLastAt = aOther.mLastAt;
}

void AnnouncementSeries::Add(const HostAnnouncement& aAnnouncement, Time aNow)
{
  std::uint64_t number = aAnnouncement.mSequence.value_or(0);
  std::uint64_t step = number - mLastNumber;
  bool isInTime = number > mLastNumber &&
                  aNow - mLastAt >= Times(step, mInterval, kMinIntervalPercent);
  bool isSecond = mLastNumber == mFirstNumber;
  mIsFirstInTime = mIsFirstInTime || (isSecond && isInTime);
  mIsContinued =
    mIsContinued || aNow - mFirstAt >= Times(1, mInterval, kMinIntervalPercent);
  mLastNumber = number;
  mLastAt = aNow;
}

bool AnnouncementSeries::BeganAfter(Time aTime) const
{
  if (!mFirstNumber || !mIsFirstInTime) {
    return false;
  }
  std::uint64_t missed = std::max(*mFirstNumber, kFirstNumber) - kFirstNumber;
  return missed <= kMaxMissed &&
         mFirstAt - aTime >= Times(missed, mInterval, kMaxIntervalPercent);
}

bool AnnouncementSeries::CanHaveBegunAfter(std::uint64_t aNumber,
                                           Duration aInterval, Time aTime,
                                           Time aNow)
{
  std::uint64_t none = kFirstNumber + kRepeatedAtOnce;
  std::uint64_t before = std::max(aNumber, none) - none;
  return aNow - aTime >= Times(before, aInterval, kMinIntervalPercent);
}

std::optional<Duration> AnnouncementSeries::TimeSinceFirst(Time aNow) const
{
  if (!mFirstNumber) {
    return std::nullopt;
  }
  auto since = [&](std::uint64_t aNumber, Time aHeardAt) {
    return aNow - aHeardAt +
           Times(std::max(aNumber, kFirstNumber) - kFirstNumber, mInterval);
  };
  Duration fromFirst = since(*mFirstNumber, mFirstAt);
  // The first one heard may have been delayed, unless the second was in time.
  return mIsFirstInTime ? fromFirst
                        : std::max(fromFirst, since(mLastNumber, mLastAt));
}

} // namespace heatherplank
