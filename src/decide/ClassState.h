#pragma once

#include <cmath>
#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "src/decide/AdmissionOptions.h"
#include "src/decide/FairQueue.h"
#include "src/decide/RetryTimePlanner.h"
#include "src/decide/ServiceTimes.h"

namespace heatherplank {

/** Recent use of slot time as an exponentially decaying sum. Not thread safe.
 */
class SlotUse
{
public:
  /** Precondition: aSeconds, the time constant, is above 0. */
  explicit SlotUse(double aSeconds)
    : mTimeConstant(aSeconds)
  {
  }

  /** Adds slot time. */
  void Add(Duration aTime, Time aNow)
  {
    mSlotSeconds =
      SecondsAt(aNow) + std::chrono::duration<double>(aTime).count();
    mUpdatedAt = aNow;
  }

  /** Average number of slots in use. */
  double Slots(Time aNow) const { return SecondsAt(aNow) / mTimeConstant; }

private:
  double SecondsAt(Time aNow) const
  {
    if (mSlotSeconds == 0) {
      return 0;
    }
    const std::chrono::duration<double> since = aNow - mUpdatedAt;
    return mSlotSeconds * std::exp(-since.count() / mTimeConstant);
  }

  double mTimeConstant;
  double mSlotSeconds = 0;
  Time mUpdatedAt;
};

/** The admission state of one class on a host. */
struct ClassState
{
  ClassState(const ClassOptions& aOptions, const AdmissionGuards& aGuards,
             std::uint64_t aSeed)
    : mOptions(aOptions)
    , mQueue(aSeed, aGuards.mFairness)
    , mServiceTimes(aOptions.mDeadline)
    , mRetryTimePlanner(aSeed, aGuards.mSpreadRetryTimes)
  {
  }

  /** Copies the observations of the class from before its options changed. */
  void CopyObservations(const ClassState& aPrevious)
  {
    mServiceTimes = aPrevious.mServiceTimes;
    mRecentUse = aPrevious.mRecentUse;
    mLongTermUse = aPrevious.mLongTermUse;
    mWeightedUse = aPrevious.mWeightedUse;
    mNextProbe = aPrevious.mNextProbe;
    mLastEmptyAt = aPrevious.mLastEmptyAt;
  }

  /** Number of requests that would run before a new request of the caller. */
  std::uint32_t CountAhead(std::uint64_t aCaller) const
  {
    return mOptions.mMayWait ? mQueue.Size() : mQueue.CountAhead(aCaller);
  }

  /** Removes and returns the next request to run; null if none is queued.
   * Deferrable work goes by deadline, since all of it was admitted to run:
   * served round-robin, old requests of busy callers fell behind newer ones of
   * other callers until they were late. Other work is served round-robin by
   * caller. */
  QueuedRequest* TakeNext()
  {
    if (!mOptions.mMayWait) {
      return mQueue.Pop();
    }
    QueuedRequest* earliest = mQueue.EarliestDeadline();
    if (earliest != nullptr) {
      mQueue.Remove(*earliest);
    }
    return earliest;
  }

  ClassOptions mOptions;
  FairQueue mQueue;
  ServiceTimes mServiceTimes;
  RetryTimePlanner mRetryTimePlanner;
  /** Slot use over one second (about twenty answers of typical services), for
   * work that waits less than that, and over ten seconds, for deferrable work,
   * which may wait through a burst.
   */
  SlotUse mRecentUse{ 1.0 };
  SlotUse mLongTermUse{ 10.0 };
  /** Slots in use by the class. */
  std::uint32_t mRunning = 0;
  /** Slot time used, divided by the share; for ClassOrder::Share. */
  double mWeightedUse = 0;
  /** Earliest time at which a request may again be admitted as a probe,
   * although its deadline looks unreachable. */
  Time mNextProbe;
  /** Time at which the queue was last observed empty. */
  Time mLastEmptyAt;
};

} // namespace heatherplank
