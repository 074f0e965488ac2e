#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/ObjectStore.h"

namespace heatherplank {

/** Blocking calls of an object store, for commands and for the thread of the
 * administration API. Retries with back-off where that is safe: reads after
 * Unavailable and Timeout, writes after Unavailable only.
 *
 * Thread safe if the store is. Never call it on a thread that runs the store's
 * callbacks: it would deadlock.
 */
class SyncObjectStore
{
public:
  struct Options
  {
    /** Attempts per call, the first included. */
    unsigned mMaxAttempts = 6;
    Duration mInitialBackoff = std::chrono::milliseconds(50);
    Duration mMaxBackoff = std::chrono::seconds(1);
    std::uint64_t mSeed = 1;
    /** Waits between attempts; tests replace it to avoid sleeping. */
    std::function<void(Duration)> mPause;
  };

  /** Sleeps between attempts unless aOptions has mPause. aStore must outlive
   * this object. */
  SyncObjectStore(ObjectStore& aStore, Options aOptions);

  Result<Object> Get(std::string_view aKey);
  Result<StoreVersion> Put(std::string_view aKey, const std::string& aValue,
                           WriteCondition aCondition);
  Result<StoreVersion> Delete(std::string_view aKey, WriteCondition aCondition);
  Result<std::vector<ObjectName>> List(std::string_view aPrefix);

  /** Reads several objects in parallel; returns the first error, if any. */
  Result<std::vector<Object>> GetAll(const std::vector<std::string>& aKeys);

  /** Waits by the mPause of the options. */
  void Pause(Duration aFor) { mOptions.mPause(aFor); }
  const Options& GetOptions() const { return mOptions; }

private:
  ObjectStore* mStore;
  Options mOptions;
};

} // namespace heatherplank
