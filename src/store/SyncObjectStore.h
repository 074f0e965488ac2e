#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/ObjectStore.h"

namespace heatherplank {

/** Blocking calls of an object store, for commands and for the administration
 * API's own thread. Sends again what is safe to send again, with back-off:
 * reads after Unavailable and Timeout, writes after Unavailable only.
 *
 * Thread safe if the store is. Never call it on a thread that runs the store's
 * callbacks: it would wait for itself.
 */
class SyncObjectStore
{
public:
  struct Options
  {
    /** Tries of one call. */
    unsigned mAttempts = 6;
    Duration mFirstPause = std::chrono::milliseconds(50);
    Duration mLongestPause = std::chrono::seconds(1);
    std::uint64_t mSeed = 1;
    /** Waits between tries; tests put in a paused clock. */
    std::function<void(Duration)> mPause;
  };

  /** Pauses by sleeping unless aOptions says otherwise. aStore outlives it. */
  SyncObjectStore(ObjectStore& aStore, Options aOptions);

  Result<Object> Get(std::string_view aKey);
  Result<std::uint64_t> Put(std::string_view aKey, const std::string& aValue,
                            WriteCondition aCondition);
  Result<std::uint64_t> Delete(std::string_view aKey,
                               WriteCondition aCondition);
  Result<std::vector<ObjectName>> List(std::string_view aPrefix);

  /** Reads several objects at once; the first failure stands for all. */
  Result<std::vector<Object>> GetAll(const std::vector<std::string>& aKeys);

  /** Waits as long as aOptions' mPause does. */
  void Pause(Duration aFor) { mOptions.mPause(aFor); }
  const Options& GetOptions() const { return mOptions; }

private:
  ObjectStore* mStore;
  Options mOptions;
};

} // namespace heatherplank
