#include "src/passthrough/DrainWatch.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

std::shared_ptr<DrainWatch> DrainWatch::Make(const Clock& aClock,
                                             ObjectStore& aStore,
                                             Options aOptions,
                                             OnDrains aOnDrains)
{
  return std::shared_ptr<DrainWatch>(
    new DrainWatch(aClock, aStore, std::move(aOptions), std::move(aOnDrains)));
}

DrainWatch::DrainWatch(const Clock& aClock, ObjectStore& aStore,
                       Options aOptions, OnDrains aOnDrains)
  : mClock(aClock)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mOnDrains(std::move(aOnDrains))
  , mSchedule(mOptions.mSchedule)
{
}

void DrainWatch::SetWatching(bool aIsWatching)
{
  using WatchWait = WatchSchedule::WatchWait;
  constexpr WatchWait kWait{ kWatchDuration, kWatchDuration };
  mSchedule.SetWatchWait(aIsWatching ? std::optional(kWait) : std::nullopt);
}

Time DrainWatch::ConfirmedAt() const
{
  return IsEnabled() ? std::max(mSchedule.ConfirmedAt(), mConfirmedAt)
                     : mClock.Now();
}

void DrainWatch::OnStoreVersion(StoreVersion aVersion, Time aAt)
{
  if (!IsEnabled() || !mDrains.IsKnown()) {
    return;
  }
  if (aVersion <= mDrains.mVersion) {
    mConfirmedAt = std::max(mConfirmedAt, aAt);
  } else if (!mReadPending && mClock.Now() - mNamesReadAt >= kMinReadInterval) {
    ReadNames();
  }
}

void DrainWatch::ReadIfUnknown()
{
  if (!IsKnown() && !mReadPending) {
    ReadNames();
  }
}

/** Reads the names without interrupting the watch. */
void DrainWatch::ReadNames()
{
  mReadPending = true;
  mNamesReadAt = mClock.Now();
  mStore.WatchNames(mOptions.mKind + "/", {}, Duration::zero(),
                    [self = shared_from_this(),
                     at = mNamesReadAt](const Result<NameChange>& aChange) {
                      self->OnNamesRead(at, aChange);
                    });
}

void DrainWatch::OnNamesRead(Time aCalledAt, const Result<NameChange>& aChange)
{
  mReadPending = false;
  if (!aChange) {
    LogEvent(LogLevel::Warning, "drains_not_read",
             { { "why", aChange.error().Describe() } });
    return;
  }
  mConfirmedAt = std::max(mConfirmedAt, aCalledAt);
  OnNameChange(*aChange);
}

DataCentreDrains DrainWatch::InForce() const
{
  DataCentreDrains out{ mDrains.mVersion, {} };
  std::ranges::set_union(mDrains.mDataCentres, mHeld,
                         std::back_inserter(out.mDataCentres));
  return out;
}

void DrainWatch::EndHoldIfDue()
{
  if (mHeld.empty() || mClock.Now() < mHeldUntil) {
    return;
  }
  mHeld.clear();
  LogEvent(LogLevel::Info, "drains_in_force",
           { { "version", mDrains.mVersion.ToString() },
             { "data_centres", mDrains.mDataCentres.size() },
             { "source", "end of hold" } });
  mOnDrains(InForce());
}

void DrainWatch::OnTick()
{
  EndHoldIfDue();
  auto call = IsEnabled() ? mSchedule.Next(mClock.Now()) : std::nullopt;
  if (!call) {
    return;
  }
  mStore.WatchNames(mOptions.mKind + "/", call->mAfter, call->mWait,
                    [self = shared_from_this(),
                     call = *call](const Result<NameChange>& aChange) {
                      self->OnAnswer(call, aChange);
                    });
}

void DrainWatch::ReadNow()
{
  mSchedule.ReadNow(mClock.Now());
  OnTick();
}

void DrainWatch::OnAnswer(const WatchSchedule::Call& aCall,
                          const Result<NameChange>& aChange)
{
  using Effect = WatchSchedule::Effect;
  if (!aChange) {
    auto effect = mSchedule.OnFailure(aCall.mId, false, mClock.Now());
    if (effect == Effect::StoreLost) {
      LogEvent(LogLevel::Warning, "drains_not_watched",
               { { "why", aChange.error().Describe() } });
    }
    return;
  }
  auto effect = mSchedule.OnAnswer(aCall.mId, aChange->mNames.has_value(),
                                   aChange->mAsOf, mClock.Now());
  if (effect == Effect::Stale) {
    return;
  }
  OnNameChange(*aChange);
  OnTick();
}

void DrainWatch::OnNameChange(const NameChange& aChange)
{
  DataCentreDrains read{ aChange.mAsOf, mDrains.mDataCentres };
  if (aChange.mNames) {
    read.mDataCentres.clear();
    for (const std::string& it : *aChange.mNames) {
      read.mDataCentres.push_back(MakeDataCentreId(it));
    }
    std::ranges::sort(read.mDataCentres);
  }
  AdoptIfNewer(read, "store");
}

/** Guards against: an isolated peer or a delayed response reports a drain that
 * was cancelled since, or the state before it. The version check rejects it. */
void DrainWatch::AdoptIfNewer(const DataCentreDrains& aDrains,
                              std::string_view aSource)
{
  if (!IsEnabled() || aDrains.mVersion <= mDrains.mVersion) {
    return;
  }
  bool isRestored =
    mDrains.IsKnown() && aDrains.mVersion.mEra != mDrains.mVersion.mEra;
  bool isChanged = !mDrains.IsKnown() || isRestored ||
                   aDrains.mDataCentres != mDrains.mDataCentres;
  if (isRestored) {
    mHeld = InForce().mDataCentres;
    mHeldUntil = mClock.Now() + kRestoreHold;
  }
  mDrains = aDrains;
  if (!isChanged) {
    return;
  }
  LogEvent(LogLevel::Info, "drains_in_force",
           { { "version", mDrains.mVersion.ToString() },
             { "data_centres", mDrains.mDataCentres.size() },
             { "held", mHeld.size() },
             { "source", aSource } });
  mOnDrains(InForce());
}

} // namespace heatherplank
