#pragma once

#include <cmath>
#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "src/decide/AdmissionOptions.h"
#include "src/decide/FairQueue.h"
#include "src/decide/ReturnPlanner.h"
#include "src/decide/ServiceTimes.h"

namespace heatherplank {

/** How much slot time something took lately: a moving sum. Not thread safe. */
class SlotUse
{
public:
  /** Precondition: aSeconds, over which it looks back, is above 0. */
  explicit SlotUse(double aSeconds)
    : mWindow(aSeconds)
  {
  }

  /** Adds slot time. */
  void Add(Duration aTime, Time aNow)
  {
    mSeconds = At(aNow) + std::chrono::duration<double>(aTime).count();
    mAt = aNow;
  }

  /** Slots that were in use on average. */
  double Slots(Time aNow) const { return At(aNow) / mWindow; }

private:
  double At(Time aNow) const
  {
    if (mSeconds == 0) {
      return 0;
    }
    const std::chrono::duration<double> since = aNow - mAt;
    return mSeconds * std::exp(-since.count() / mWindow);
  }

  double mWindow;
  double mSeconds = 0;
  Time mAt;
};

/** What the admission at a host holds of one class. */
struct ClassState
{
  ClassState(const ClassOptions& aOptions, const AdmissionGuards& aGuards,
             std::uint64_t aSeed)
    : mOptions(aOptions)
    , mQueue(aSeed, aGuards.mFairness)
    , mTimes(aOptions.mDeadline)
    , mReturns(aSeed, aGuards.mSpreadReturns)
  {
  }

  /** Takes over what was observed of the class under its former options. */
  void Learn(const ClassState& aFormer)
  {
    mTimes = aFormer.mTimes;
    mUse = aFormer.mUse;
    mLongUse = aFormer.mLongUse;
    mTaken = aFormer.mTaken;
    mNextProbe = aFormer.mNextProbe;
    mEmptyAt = aFormer.mEmptyAt;
  }

  /** How many would run before a new request of the caller. */
  std::uint32_t Ahead(std::uint64_t aCaller) const
  {
    return mOptions.mMayWait ? mQueue.Size() : mQueue.Ahead(aCaller);
  }

  /** Takes what runs next; null if nothing waits. Work that may wait goes by
   * its deadline, since all of it was promised to run: served in turn, what
   * busy callers had sent long ago fell behind what came later, until it was
   * late. Other work goes by the turn of its callers. */
  Waiting* TakeNext()
  {
    if (!mOptions.mMayWait) {
      return mQueue.Pop();
    }
    Waiting* earliest = mQueue.Earliest();
    if (earliest != nullptr) {
      mQueue.Remove(*earliest);
    }
    return earliest;
  }

  ClassOptions mOptions;
  FairQueue mQueue;
  ServiceTimes mTimes;
  ReturnPlanner mReturns;
  /** Over a second, some twenty answers of today's services, for work that
   * waits less than that; and over ten for work that may wait through a burst.
   */
  SlotUse mUse{ 1.0 };
  SlotUse mLongUse{ 10.0 };
  /** Slots that it holds. */
  std::uint32_t mRunning = 0;
  /** Slot time taken, divided by the share; with ClassOrder::Share. */
  double mTaken = 0;
  /** When the next probe may start. */
  Time mNextProbe;
  /** When its queue was last seen empty. */
  Time mEmptyAt;
};

} // namespace heatherplank
