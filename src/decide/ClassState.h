#pragma once

#include <cmath>
#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "src/decide/AdmissionOptions.h"
#include "src/decide/FairQueue.h"
#include "src/decide/ReturnPlanner.h"
#include "src/decide/ServiceTimes.h"

namespace heatherplank {

/** How much slot time something took lately: a moving sum over a second, which
 * is some twenty answers of today's services. Not thread safe. */
class SlotUse
{
public:
  /** Adds slot time. */
  void Add(Duration aTime, Time aNow)
  {
    mSeconds = At(aNow) + std::chrono::duration<double>(aTime).count();
    mAt = aNow;
  }

  /** Slots that were in use on average. */
  double Slots(Time aNow) const { return At(aNow); }

private:
  double At(Time aNow) const
  {
    if (mSeconds == 0) {
      return 0;
    }
    const std::chrono::duration<double> since = aNow - mAt;
    return mSeconds * std::exp(-since.count());
  }

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

  ClassOptions mOptions;
  FairQueue mQueue;
  ServiceTimes mTimes;
  ReturnPlanner mReturns;
  SlotUse mUse;
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
