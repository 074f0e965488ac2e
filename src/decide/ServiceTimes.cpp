#include "src/decide/ServiceTimes.h"

#include <algorithm>
#include <bit>
#include <cstdlib>

namespace heatherplank {

namespace {

// Inverse weight of a new observation, 1/8 as in TCP's round-trip estimate: the
// mean follows a change of speed within twenty answers.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
// Observations of a size before its separate estimate is used.
constexpr std::uint32_t kMinObservations = 8;
constexpr int kAssumedDivisor = 8;
constexpr int kUpperDeviations = 2;

// Buckets of sizes by powers of eight: 0, below 8, below 64, ... bytes.
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
  const Duration error = aTime - mMean;
  mMean += error / kMeanDivisor;
  mDeviation += (std::chrono::abs(error) - mDeviation) / kDeviationDivisor;
}

ServiceTimes::ServiceTimes(Duration aDeadline)
  : mAssumed(aDeadline / kAssumedDivisor)
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
  return IsCold() ? mAssumed : EstimateFor(aSize).Mean();
}

Duration ServiceTimes::UpperEstimate(std::uint32_t aSize) const
{
  return UpperEstimateOf(EstimateFor(aSize));
}

Duration ServiceTimes::UpperEstimate() const
{
  return UpperEstimateOf(mAll);
}

const TimeEstimate& ServiceTimes::EstimateFor(std::uint32_t aSize) const
{
  const TimeEstimate& bySize = mBySize.at(BucketOf(aSize));
  return bySize.Count() >= kMinObservations ? bySize : mAll;
}

Duration ServiceTimes::UpperEstimateOf(const TimeEstimate& aEstimate) const
{
  if (IsCold()) {
    return mAssumed;
  }
  return aEstimate.Mean() + kUpperDeviations * aEstimate.Deviation();
}

} // namespace heatherplank
