#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigActions.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

/** Schedules a watcher's calls to the platform: the watch of the head object
 * and the reads of parts, within a call rate and with back-off after failures.
 * No I/O or clock access; not thread safe.
 */
class ConfigPlatform
{
public:
  struct Options
  {
    Duration mWatchTimeout = std::chrono::seconds(20);
    /** A watcher makes 0.05 calls/s at rest and one or two per change. This
     * rate allows a first copy of 513 parts in 8 s, and keeps the reading
     * watchers of 13 data centres, one each, below half of the platform's rate
     * in total. */
    double mCallsPerSecond = 64;
    double mBurst = 64;
    std::size_t mMaxConcurrentFetches = 8;
    Duration mInitialBackoff = std::chrono::milliseconds(200);
    /** After an outage all watchers retry within this time, at random moments.
     */
    Duration mMaxBackoff = std::chrono::seconds(10);
    /** Guard: draws each pause at random instead of using a fixed one. */
    bool mJitter = true;
  };

  ConfigPlatform(const Options& aOptions, std::uint64_t aSeed, Time aNow);

  /** Adds the calls that are due; aMissing are the parts to fetch. */
  void Tick(Time aNow, bool aIsWatcher,
            const std::map<PartHash, PartRef>& aMissing,
            std::vector<ConfigAction>& aOut);

  /** Handles the end of a watch; returns the head object if it changed. */
  std::optional<Object> OnWatched(Result<std::optional<Object>> aResult,
                                  Time aNow);

  /** Handles the end of a read; returns the part's text if it succeeded. */
  std::optional<std::string> OnFetched(const PartHash& aHash,
                                       Result<Object> aResult, Time aNow);

  std::uint64_t Calls() const { return mCalls; }
  std::uint64_t Failures() const { return mFailures; }

private:
  void RecordFailure(Time aNow);
  bool TryBeginCall(Time aNow);

  Options mOptions;
  TokenBucket mBucket;
  Backoff mBackoff;
  bool mIsWatching = false;
  std::set<PartHash> mFetchesInFlight;
  Time mPausedUntil{};
  /** Last read version of the head object; the watch starts after it. */
  StoreVersion mHeadObjectVersion;
  std::uint64_t mCalls = 0;
  std::uint64_t mFailures = 0;
};

} // namespace heatherplank
