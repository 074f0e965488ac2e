#pragma once

#include <cstdint>
#include <optional>

#include "include/heatherplank/Clock.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

/** When to read and watch something in the store, and what its answers prove.
 *
 * A watch may hear nothing for good: its connection went silent, or the store
 * cut it off without a word. So a watch waits a bounded time, and after each
 * failure the whole is read, never from where the watch had been.
 *
 * Pure; not thread safe.
 */
class WatchSchedule
{
public:
  struct Options
  {
    /** A watch that ends with nothing sooner than this did not wait: the next
     * call pauses, or a store that answers at once would be called in a
     * stream. */
    Duration mShortestWatch = std::chrono::milliseconds(250);
    Duration mFirstPause = std::chrono::milliseconds(100);
    Duration mLongestPause = std::chrono::milliseconds(1500);
    std::uint64_t mSeed = 1;
  };

  /** A call to make. */
  struct Call
  {
    std::uint64_t mId = 0;
    /** The store's version to watch from; 0 to read the whole at once. */
    std::uint64_t mAfter = 0;
    Duration mWait{};
  };

  /** What an answer meant. */
  enum class Effect : std::uint8_t
  {
    /** It is to a call that was given up; it says nothing. */
    Stale,
    Taken,
    /** Taken, and the store is lost by it, or answers again. */
    StoreLost,
    StoreRegained,
  };

  explicit WatchSchedule(const Options& aOptions);

  /** How long watches wait from now on; none to begin no more calls. */
  void SetWatchFor(std::optional<Duration> aWait) { mWatchFor = aWait; }

  /** The call that is due, if any; one at a time. */
  std::optional<Call> Next(Time aNow);

  /** The whole is to be read now, whether it is watched or not; the call under
   * way is given up. */
  void ReadNow(Time aNow);

  /** The call was answered. aVersion: where to watch from next. */
  Effect OnAnswer(std::uint64_t aCall, bool aIsChange, std::uint64_t aVersion,
                  Time aNow);

  /** The call failed. aStoreAnswered: there is nothing to read, but the store
   * is there. */
  Effect OnFailure(std::uint64_t aCall, bool aStoreAnswered, Time aNow);

  /** The last call failed, and none has succeeded since. */
  bool IsStoreLost() const { return mStoreLost; }

  /** When the store last answered; zero if it never did. */
  Time HeardAt() const { return mHeardAt; }

  /** When the store last said that nothing newer is in force; zero if it never
   * did. An answer may have waited on the way here, so it counts from when the
   * store gave it at the earliest. */
  Time ConfirmedAt() const { return mConfirmedAt; }

  /** The same of answers to watches alone. */
  Time WatchedAt() const { return mWatchedAt; }

private:
  bool EndCall(std::uint64_t aCall);

  const Options mOptions;
  Backoff mBackoff;
  std::optional<Duration> mWatchFor;
  bool mReadOnce = false;
  /** The call under way; answers to others are dropped. */
  Call mCall;
  bool mCalling = false;
  Time mNextAt{};
  Time mCalledAt{};
  std::uint64_t mVersion = 0;
  bool mStoreLost = false;
  Time mHeardAt{};
  Time mConfirmedAt{};
  Time mWatchedAt{};
};

} // namespace heatherplank
