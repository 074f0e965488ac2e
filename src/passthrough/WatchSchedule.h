#pragma once

#include <cstdint>
#include <optional>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/StoreVersion.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

/** Schedules reads and watches of data in the store, and derives from the
 * responses how recent the local copy is.
 *
 * A watch may never return: its connection became unresponsive, or the store
 * dropped the watch without an error. Each watch therefore waits a bounded
 * time, and after each failure all data is read again instead of resuming the
 * watch.
 *
 * No I/O or clock access; not thread safe.
 */
class WatchSchedule
{
public:
  struct Options
  {
    /** A watch that returns without a change sooner than this did not wait. The
     * next call is then delayed: a store that returns at once would otherwise
     * be called in a tight loop. */
    Duration mMinWatchDuration = std::chrono::milliseconds(250);
    Duration mInitialBackoff = std::chrono::milliseconds(100);
    Duration mMaxBackoff = std::chrono::milliseconds(1500);
    std::uint64_t mSeed = 1;
  };

  /** How long watches wait for a change. */
  struct WatchWait
  {
    /** The first watch after a read or a change. A change ends the watches of
     * all processes at once; if this differs between them, their later watches
     * end at different times. */
    Duration mFirst{};
    Duration mNext{};
  };

  /** A store call to start. */
  struct Call
  {
    std::uint64_t mId = 0;
    /** The store's version to watch from; unknown to read all data at once. */
    StoreVersion mAfter;
    Duration mWait{};
  };

  /** The effect of a response or failure. */
  enum class Effect : std::uint8_t
  {
    /** It belongs to an abandoned call and is ignored. */
    Stale,
    Accepted,
    /** Accepted; the store is found unavailable, or available again. */
    StoreLost,
    StoreRegained,
  };

  explicit WatchSchedule(const Options& aOptions);

  /** Sets how long each watch waits for a change; none: starts no more calls,
   * except reads by ReadNow(). */
  void SetWatchWait(std::optional<WatchWait> aWait) { mWatchWait = aWait; }

  /** The call that is due, if any; at most one call is pending at a time. */
  std::optional<Call> Next(Time aNow);

  /** Makes a read of all data due, also while watching is off, and abandons the
   * pending call. */
  void ReadNow(Time aNow);

  /** The call succeeded. aVersion: the version to watch from next. */
  Effect OnAnswer(std::uint64_t aCall, bool aIsChange, StoreVersion aVersion,
                  Time aNow);

  /** The call failed. aStoreAnswered: the store responded, but there is nothing
   * to read. */
  Effect OnFailure(std::uint64_t aCall, bool aStoreAnswered, Time aNow);

  /** The last call failed, and none has succeeded since. */
  bool IsStoreLost() const { return mStoreLost; }

  /** When the store last responded; zero if it never did. */
  Time LastAnswerAt() const { return mLastAnswerAt; }

  /** When the store last confirmed that nothing newer is in force; zero if it
   * never did. A response may have been delayed on its way, so it counts from
   * the earliest time at which the store can have sent it. */
  Time ConfirmedAt() const { return mConfirmedAt; }

  /** As ConfirmedAt(), from responses to watches only. */
  Time WatchedAt() const { return mWatchedAt; }

  /** How long the present call has been pending; zero if none is. */
  Duration PendingCallAge(Time aNow) const
  {
    return mCallPending ? aNow - mCalledAt : Duration::zero();
  }

  bool IsWatchPending() const { return mCallPending && mCall.mAfter.IsKnown(); }
  /** Whether the present call is a read of all data. */
  bool IsReadPending() const { return mCallPending && !mCall.mAfter.IsKnown(); }

private:
  Duration NextWait() const;
  bool EndCall(std::uint64_t aCall);

  const Options mOptions;
  Backoff mBackoff;
  std::optional<WatchWait> mWatchWait;
  /** Whether the next watch is the first one after a read or a change. */
  bool mIsFirstWatch = true;
  bool mReadOnce = false;
  /** The pending or last call; responses to other calls are dropped. */
  Call mCall;
  bool mCallPending = false;
  Time mNextAt{};
  Time mCalledAt{};
  StoreVersion mVersion;
  bool mStoreLost = false;
  Time mLastAnswerAt{};
  Time mConfirmedAt{};
  Time mWatchedAt{};
};

} // namespace heatherplank
