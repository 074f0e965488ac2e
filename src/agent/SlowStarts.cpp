#include "src/agent/SlowStarts.h"

#include "src/decide/SlowStart.h"

namespace heatherplank {

SlowStarts::SlowStarts()
  : mSlowStart(std::move(*MakeSlowStart("time")))
{
}

SlowStarts::~SlowStarts() = default;

void SlowStarts::OnView(const ServiceView& aView, Time aNow)
{
  std::lock_guard lock(mLock);
  for (const auto& it : aView.Members()) {
    Incarnation& known = mKnown[it.mHost];
    // What stood in the first view may have served for long.
    if (mHasView && known != it.mIncarnation) {
      mSlowStart->OnStart(it.mHost, aNow);
    }
    known = it.mIncarnation;
  }
  mHasView = true;
}

double SlowStarts::Share(HostId aHost, Time aNow) const
{
  std::lock_guard lock(mLock);
  return mSlowStart->Weight(aHost, aNow);
}

} // namespace heatherplank
