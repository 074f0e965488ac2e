#include "src/passthrough/WatchSchedule.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

WatchSchedule::WatchSchedule(const Options& aOptions)
  : mOptions(aOptions)
  , mBackoff(mOptions.mInitialBackoff, mOptions.mMaxBackoff, mOptions.mSeed)
{
}

std::optional<WatchSchedule::Call> WatchSchedule::Next(Time aNow)
{
  bool wanted = mWatchWait.has_value() || mReadOnce;
  if (!wanted || mCallPending || aNow < mNextAt) {
    return std::nullopt;
  }
  mReadOnce = false;
  mCallPending = true;
  mCalledAt = aNow;
  ++mCall.mId;
  mCall.mAfter = mVersion;
  mCall.mWait = NextWait();
  return mCall;
}

Duration WatchSchedule::NextWait() const
{
  if (!mVersion.IsKnown() || !mWatchWait) {
    return Duration::zero();
  }
  return mIsFirstWatch ? mWatchWait->mFirst : mWatchWait->mNext;
}

void WatchSchedule::ReadNow(Time aNow)
{
  ++mCall.mId;
  mCallPending = false;
  mReadOnce = true;
  mVersion = {};
  mNextAt = aNow;
}

bool WatchSchedule::EndCall(std::uint64_t aCall)
{
  if (!mCallPending || aCall != mCall.mId) {
    return false;
  }
  mCallPending = false;
  return true;
}

WatchSchedule::Effect WatchSchedule::OnAnswer(std::uint64_t aCall,
                                              bool aIsChange,
                                              StoreVersion aVersion, Time aNow)
{
  if (!EndCall(aCall)) {
    return Effect::Stale;
  }
  bool regained = std::exchange(mStoreLost, false);
  mLastAnswerAt = aNow;
  bool waited = aNow - mCalledAt >= mOptions.mMinWatchDuration;
  if (aIsChange || waited) {
    mBackoff.Reset();
    mNextAt = aNow;
  } else {
    mNextAt = aNow + mOptions.mInitialBackoff + mBackoff.Next();
  }
  // The store reports a change when it happens, whenever the watch began.
  bool isWatchedChange = aIsChange && mVersion.IsKnown();
  mConfirmedAt =
    isWatchedChange ? aNow : std::min(aNow, mCalledAt + mCall.mWait);
  if (mCall.mAfter.IsKnown()) {
    mWatchedAt = mConfirmedAt;
  }
  mVersion = aVersion;
  mIsFirstWatch = aIsChange;
  return regained ? Effect::StoreRegained : Effect::Accepted;
}

WatchSchedule::Effect WatchSchedule::OnFailure(std::uint64_t aCall,
                                               bool aStoreAnswered, Time aNow)
{
  if (!EndCall(aCall)) {
    return Effect::Stale;
  }
  mNextAt = aNow + mBackoff.Next();
  mVersion = {};
  bool lost = !aStoreAnswered && !std::exchange(mStoreLost, true);
  return lost ? Effect::StoreLost : Effect::Accepted;
}

} // namespace heatherplank
