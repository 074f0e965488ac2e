#include "src/config/ConfigPlatform.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

ConfigPlatform::ConfigPlatform(const Options& aOptions, std::uint64_t aSeed,
                               Time aNow)
  : mOptions(aOptions)
  , mBucket(aOptions.mCallsPerSecond, aOptions.mBurst, aNow)
  , mBackoff(aOptions.mFirstPause, aOptions.mLongestPause, aSeed)
{
}

bool ConfigPlatform::MayCall(Time aNow)
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
  if (!mIsWatching && MayCall(aNow)) {
    mIsWatching = true;
    aOut.emplace_back(ConfigWatch{ mAfter, mOptions.mWatchWait });
  }
  for (const auto& [hash, part] : aMissing) {
    if (mFetching.size() >= mOptions.mFetchesAtOnce) {
      return;
    }
    if (mFetching.contains(hash)) {
      continue;
    }
    if (!MayCall(aNow)) {
      return;
    }
    mFetching.insert(hash);
    aOut.emplace_back(ConfigFetch{ hash, config_keys::Part(part) });
  }
}

/** Without back-off a watcher would call a platform that is down as fast as it
 * refuses; without the draw all watchers, whose watches broke at the same
 * moment, would come back at the same moments too.
 */
void ConfigPlatform::Failed(Time aNow)
{
  ++mFailures;
  Duration pause = mBackoff.Next();
  mPausedUntil = aNow + (mOptions.mJitter ? pause : mOptions.mFirstPause);
}

std::optional<Object> ConfigPlatform::OnWatched(
  Result<std::optional<Object>> aResult, Time aNow)
{
  mIsWatching = false;
  if (!aResult) {
    Failed(aNow);
    return std::nullopt;
  }
  mBackoff.Reset();
  if (*aResult) {
    mAfter = std::max(mAfter, (*aResult)->mVersion);
  }
  return std::move(*aResult);
}

std::optional<std::string> ConfigPlatform::OnFetched(const PartHash& aHash,
                                                     Result<Object> aResult,
                                                     Time aNow)
{
  mFetching.erase(aHash);
  if (!aResult) {
    Failed(aNow);
    return std::nullopt;
  }
  mBackoff.Reset();
  return std::move(aResult->mValue);
}

} // namespace heatherplank
