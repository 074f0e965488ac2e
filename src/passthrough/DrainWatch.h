#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/DataCentreDrains.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/passthrough/WatchSchedule.h"

namespace heatherplank {

/** Keeps a balancer's knowledge of the drained data centres at the newest
 * version that it has seen, from the store (by WatchSchedule) and from peers; a
 * version never goes back within a process.
 *
 * A long watch brings a change at once, and costs few calls. That it may have
 * gone silent is made good by the answers to other calls: each tells the
 * store's version, and as long as that has not moved, no drain has changed;
 * once it has, the names are read again. Runs on one thread, that of the
 * store's executor.
 */
class DrainWatch : public std::enable_shared_from_this<DrainWatch>
{
public:
  /** Called when data centres are drained or taken back. */
  using OnDrains = std::function<void(const DataCentreDrains&)>;

  struct Options
  {
    /** The store's kind whose objects are named after drained data centres;
     * empty: none is ever drained. */
    std::string mKind;
    WatchSchedule::Options mSchedule;
  };

  /** aClock and aStore must outlive it, and every call of the store. */
  static std::shared_ptr<DrainWatch> Make(const Clock& aClock,
                                          ObjectStore& aStore, Options aOptions,
                                          OnDrains aOnDrains);

  /** How long one watch waits. */
  static constexpr Duration kWatchFor = std::chrono::seconds(20);
  /** The least time between two reads that a moved version asks for: an
   * operator who changes routes many times a second would cost a call each
   * time. */
  static constexpr Duration kLookEvery = std::chrono::milliseconds(1000);

  /** Whether to watch from now on. */
  void SetWatches(bool aWatches);

  /** Starts the next call when it is due; call it some ten times a second. */
  void OnTick();

  /** Reads anew: this process stood still. */
  void ReadNow();

  /** The store answers, and routes wait for the drains: reads them at once, if
   * nothing is known yet. */
  void ReadFirst();

  /** An answer to another call told the store's version, which was in force at
   * aAt. */
  void OnStoreVersion(std::uint64_t aVersion, Time aAt);

  /** What a peer knows. */
  void OnPeer(const DataCentreDrains& aDrains) { Accept(aDrains, "peer"); }

  /** It was heard, from the store or a peer, which data centres are drained. */
  bool IsKnown() const { return !IsUsed() || mDrains.IsKnown(); }
  const DataCentreDrains& Drains() const { return mDrains; }

  /** When the store last said, in whatever way, that nothing newer is in force;
   * zero if it never did. */
  Time ConfirmedAt() const;

private:
  DrainWatch(const Clock& aClock, ObjectStore& aStore, Options aOptions,
             OnDrains aOnDrains);

  bool IsUsed() const { return !mOptions.mKind.empty(); }
  void Look();
  void OnLooked(Time aCalledAt, const Result<NameChange>& aChange);
  void Take(const NameChange& aChange);
  void OnAnswer(const WatchSchedule::Call& aCall,
                const Result<NameChange>& aChange);
  void Accept(const DataCentreDrains& aDrains, std::string_view aSource);

  const Clock& mClock;
  ObjectStore& mStore;
  const Options mOptions;
  const OnDrains mOnDrains;
  WatchSchedule mSchedule;
  DataCentreDrains mDrains;
  /** Of the answers to other calls. */
  Time mConfirmedAt{};
  Time mLookedAt{};
  bool mLooking = false;
};

} // namespace heatherplank
