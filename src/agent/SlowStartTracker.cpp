#include "src/agent/SlowStartTracker.h"

#include "src/decide/SlowStart.h"

namespace heatherplank {

SlowStartTracker::SlowStartTracker()
  : mSlowStart(std::move(*MakeSlowStart("time")))
{
}

SlowStartTracker::~SlowStartTracker() = default;

void SlowStartTracker::OnView(const ServiceView& aView, Time aNow)
{
  std::lock_guard lock(mLock);
  for (const auto& it : aView.Members()) {
    Incarnation& known = mKnown[it.mHost];
    // Hosts in the first view may have been serving for a long time.
    if (mHasView && known != it.mIncarnation) {
      mSlowStart->OnStart(it.mHost, aNow);
    }
    known = it.mIncarnation;
  }
  mHasView = true;
}

double SlowStartTracker::Share(HostId aHost, Time aNow) const
{
  std::lock_guard lock(mLock);
  return mSlowStart->Weight(aHost, aNow);
}

} // namespace heatherplank
