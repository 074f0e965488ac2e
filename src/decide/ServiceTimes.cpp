#include "src/decide/ServiceTimes.h"

#include <algorithm>
#include <bit>
#include <cstdlib>

namespace heatherplank {

namespace {

// Weight of a new observation, 1/8 as in TCP's round trip estimate: twenty
// answers make a change of speed known.
constexpr int kMeanShift = 8;
constexpr int kDeviationShift = 4;
// Observations of a size before its own mean is trusted.
constexpr std::uint32_t kEnough = 8;
constexpr int kAssumedShare = 8;
constexpr int kHighDeviations = 2;

// Sizes by powers of eight: 0, below 8, 64, ... bytes.
std::size_t BucketOf(std::uint32_t aSize)
{
  const auto bits = static_cast<std::size_t>(std::bit_width(aSize));
  return std::min<std::size_t>((bits + 2) / 3, 7);
}

} // namespace

void TimeEstimate::Observe(Duration aTime)
{
  if (mCount++ == 0) {
    mMean = aTime;
    mDeviation = aTime / 2;
    return;
  }
  const Duration off = aTime - mMean;
  mMean += off / kMeanShift;
  mDeviation += (std::chrono::abs(off) - mDeviation) / kDeviationShift;
}

ServiceTimes::ServiceTimes(Duration aDeadline)
  : mAssumed(aDeadline / kAssumedShare)
{
}

void ServiceTimes::Observe(std::uint32_t aSize, Duration aTime)
{
  mAll.Observe(aTime);
  mBySize.at(BucketOf(aSize)).Observe(aTime);
}

void ServiceTimes::ObserveAtLeast(std::uint32_t aSize, Duration aTime)
{
  if (aTime > Mean(aSize)) {
    Observe(aSize, aTime);
  }
}

Duration ServiceTimes::Mean() const
{
  return IsCold() ? mAssumed : mAll.Mean();
}

Duration ServiceTimes::Mean(std::uint32_t aSize) const
{
  return IsCold() ? mAssumed : For(aSize).Mean();
}

Duration ServiceTimes::High(std::uint32_t aSize) const
{
  return HighOf(For(aSize));
}

Duration ServiceTimes::High() const
{
  return HighOf(mAll);
}

const TimeEstimate& ServiceTimes::For(std::uint32_t aSize) const
{
  const TimeEstimate& own = mBySize.at(BucketOf(aSize));
  return own.Count() >= kEnough ? own : mAll;
}

Duration ServiceTimes::HighOf(const TimeEstimate& aEstimate) const
{
  if (IsCold()) {
    return mAssumed;
  }
  return aEstimate.Mean() + kHighDeviations * aEstimate.Deviation();
}

} // namespace heatherplank
