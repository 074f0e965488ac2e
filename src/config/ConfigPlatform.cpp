#include "src/config/ConfigPlatform.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

ConfigPlatform::ConfigPlatform(const Options& aOptions, std::uint64_t aSeed,
                               Time aNow)
  : mOptions(aOptions)
  , mBucket(aOptions.mCallsPerSecond, aOptions.mBurst, aNow)
  , mBackoff(aOptions.mInitialBackoff, aOptions.mMaxBackoff, aSeed)
{
}

bool ConfigPlatform::TryBeginCall(Time aNow)
{
  if (aNow < mPausedUntil || !mBucket.TryTake(aNow)) {
    return false;
  }
  ++mCalls;
  return true;
}

void ConfigPlatform::Tick(Time aNow, bool aIsWatcher,
                          const std::map<PartHash, PartRef>& aMissing,
                          std::vector<ConfigAction>& aOut)
{
  if (!aIsWatcher) {
    return;
  }
  if (!mIsWatching && TryBeginCall(aNow)) {
    mIsWatching = true;
    aOut.emplace_back(
      ConfigWatch{ mHeadObjectVersion, mOptions.mWatchTimeout });
  }
  for (const auto& [hash, part] : aMissing) {
    if (mFetchesInFlight.size() >= mOptions.mMaxConcurrentFetches) {
      return;
    }
    if (mFetchesInFlight.contains(hash)) {
      continue;
    }
    if (!TryBeginCall(aNow)) {
      return;
    }
    mFetchesInFlight.insert(hash);
    aOut.emplace_back(ConfigFetch{ hash, config_keys::Part(part) });
  }
}

/** Without back-off a watcher would call an unavailable platform as fast as the
 * calls fail. Without jitter all watchers, whose watches failed at the same
 * time, would retry at the same times.
 */
void ConfigPlatform::RecordFailure(Time aNow)
{
  ++mFailures;
  Duration pause = mBackoff.Next();
  mPausedUntil = aNow + (mOptions.mJitter ? pause : mOptions.mInitialBackoff);
}

std::optional<Object> ConfigPlatform::OnWatched(
  Result<std::optional<Object>> aResult, Time aNow)
{
  mIsWatching = false;
  if (!aResult) {
    RecordFailure(aNow);
    return std::nullopt;
  }
  mBackoff.Reset();
  if (*aResult) {
    mHeadObjectVersion = std::max(mHeadObjectVersion, (*aResult)->mVersion);
  }
  return std::move(*aResult);
}

std::optional<std::string> ConfigPlatform::OnFetched(const PartHash& aHash,
                                                     Result<Object> aResult,
                                                     Time aNow)
{
  mFetchesInFlight.erase(aHash);
  if (!aResult) {
    RecordFailure(aNow);
    return std::nullopt;
  }
  mBackoff.Reset();
  return std::move(aResult->mValue);
}

} // namespace heatherplank
