#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigActions.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

/** A watcher's calls of the platform: which to make when. Pure; not thread
 * safe.
 */
class ConfigPlatform
{
public:
  struct Options
  {
    Duration mWatchWait = std::chrono::seconds(20);
    /** A watcher makes 0.05 calls a second at rest and one or two a change.
     * The rate leaves room for a first copy of 513 parts in eight seconds, and
     * keeps the one watcher of each of 13 data centres that reads parts under
     * half of the platform's rate together. */
    double mCallsPerSecond = 64;
    double mBurst = 64;
    std::size_t mFetchesAtOnce = 8;
    Duration mFirstPause = std::chrono::milliseconds(200);
    /** After an outage all watchers are back within this time, and no two at
     * once, but by chance. */
    Duration mLongestPause = std::chrono::seconds(10);
    /** Guard: pauses are drawn, not fixed. */
    bool mJitter = true;
  };

  ConfigPlatform(const Options& aOptions, std::uint64_t aSeed, Time aNow);

  /** Adds the calls that are due. aMissing are the parts to be fetched. */
  void Tick(Time aNow, bool aIsWatcher,
            const std::map<PartHash, PartRef>& aMissing,
            std::vector<ConfigAction>& aOut);

  /** A watch ended; the object, if it brought one. */
  std::optional<Object> OnWatched(Result<std::optional<Object>> aResult,
                                  Time aNow);

  /** A read of a part ended; its text, if it brought one. */
  std::optional<std::string> OnFetched(const PartHash& aHash,
                                       Result<Object> aResult, Time aNow);

  std::uint64_t Calls() const { return mCalls; }
  std::uint64_t Failures() const { return mFailures; }

private:
  void Failed(Time aNow);
  bool MayCall(Time aNow);

  Options mOptions;
  TokenBucket mBucket;
  Backoff mBackoff;
  bool mIsWatching = false;
  std::set<PartHash> mFetching;
  Time mPausedUntil{};
  /** Version of the head object that was seen last. */
  std::uint64_t mAfter = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
};

} // namespace heatherplank
