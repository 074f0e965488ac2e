#include "src/agent/OutlierTracker.h"

#include <utility>

#include "src/decide/OutlierDetector.h"

namespace heatherplank {

OutlierTracker::OutlierTracker()
  : mDetector(std::move(*MakeOutlierDetector("compared")))
{
}

OutlierTracker::~OutlierTracker() = default;

void OutlierTracker::OnView(const ServiceView& aView)
{
  std::set<HostId> present;
  for (const auto& it : aView.Members()) {
    present.insert(it.mHost);
  }
  std::lock_guard lock(mLock);
  for (const auto& it : mHosts) {
    if (!present.contains(it)) {
      mDetector->Remove(it);
    }
  }
  for (const auto& it : present) {
    mDetector->Add(it);
  }
  mHosts = std::move(present);
}

void OutlierTracker::OnLoadReport(HostId aHost, const HostLoad& aLoad,
                                  Time aNow)
{
  std::lock_guard lock(mLock);
  mDetector->OnLoadReport(aHost, aLoad, aNow);
}

bool OutlierTracker::IsEjected(HostId aHost, Time aNow) const
{
  std::lock_guard lock(mLock);
  return mDetector->IsEjected(aHost, aNow);
}

} // namespace heatherplank
