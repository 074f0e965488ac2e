#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/DataCentreDrains.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/passthrough/WatchSchedule.h"

namespace heatherplank {

/** Keeps a balancer's set of drained data centres at the newest version
 * received from the store (by WatchSchedule) or from peers. The version never
 * decreases within a process.
 *
 * A long watch delivers a change at once and costs few calls. Responses to
 * other store calls compensate for a watch that became unresponsive: each
 * carries the store's version. While that version is unchanged, no drain has
 * changed; once it increases, the names are read again.
 *
 * Guards against: the store is restored from a copy without the newest drain,
 * and hosts of a data centre that is about to lose power receive flows until
 * the operator drains it again. Drains known before a restore therefore stay in
 * force for kRestoreHold. Runs on one thread, that of the store's executor.
 */
class DrainWatch : public std::enable_shared_from_this<DrainWatch>
{
public:
  /** Called when data centres are drained or returned to service, and when the
   * store's era changes. */
  using OnDrains = std::function<void(const DataCentreDrains&)>;

  struct Options
  {
    /** The kind of the store's objects whose names are the drained data
     * centres; empty: drains are disabled. */
    std::string mKind;
    WatchSchedule::Options mSchedule;
  };

  /** aClock and aStore must outlive the watch and every store call. */
  static std::shared_ptr<DrainWatch> Make(const Clock& aClock,
                                          ObjectStore& aStore, Options aOptions,
                                          OnDrains aOnDrains);

  /** How long each watch waits for a change. */
  static constexpr Duration kWatchDuration = std::chrono::seconds(20);
  /** The shortest time between two reads caused by a higher store version. It
   * limits the calls while an operator changes routes many times a second. */
  static constexpr Duration kMinReadInterval = std::chrono::milliseconds(1000);
  /** Time for the operator to write a drain again that a restore undid. */
  static constexpr Duration kRestoreHold = std::chrono::milliseconds(5000);

  /** Starts or stops watching. */
  void SetWatching(bool aIsWatching);

  /** Starts the next store call if due. Call it about ten times a second. */
  void OnTick();

  /** Reads all names, abandoning the pending call: this process was stalled. */
  void ReadNow();

  /** Reads the drains at once if none are known yet: the store is available and
   * routes wait for the drains. */
  void ReadIfUnknown();

  /** Another store call's response carried the store's version as of aAt. */
  void OnStoreVersion(StoreVersion aVersion, Time aAt);

  /** The drains known to a peer. */
  void OnPeerDrains(const DataCentreDrains& aDrains)
  {
    AdoptIfNewer(aDrains, "peer");
  }

  /** Whether any state of the drains was received, from the store or a peer. */
  bool IsKnown() const { return !IsEnabled() || mDrains.IsKnown(); }
  /** What the store or a peer reported last; for notices to peers. */
  const DataCentreDrains& Drains() const { return mDrains; }
  /** The drains in force: those, and the ones held after a restore. */
  DataCentreDrains InForce() const;

  /** When the store last confirmed, by a response to any call, that nothing
   * newer is in force; zero if it never did. */
  Time ConfirmedAt() const;

private:
  DrainWatch(const Clock& aClock, ObjectStore& aStore, Options aOptions,
             OnDrains aOnDrains);

  bool IsEnabled() const { return !mOptions.mKind.empty(); }
  void ReadNames();
  void OnNamesRead(Time aCalledAt, const Result<NameChange>& aChange);
  void OnNameChange(const NameChange& aChange);
  void OnAnswer(const WatchSchedule::Call& aCall,
                const Result<NameChange>& aChange);
  void AdoptIfNewer(const DataCentreDrains& aDrains, std::string_view aSource);
  void EndHoldIfDue();

  const Clock& mClock;
  ObjectStore& mStore;
  const Options mOptions;
  const OnDrains mOnDrains;
  WatchSchedule mSchedule;
  DataCentreDrains mDrains;
  /** The drains in force before the last restore, until mHeldUntil. */
  std::vector<DataCentreId> mHeld;
  Time mHeldUntil{};
  /** Time of the last confirmation by ReadNames() or OnStoreVersion(). */
  Time mConfirmedAt{};
  Time mNamesReadAt{};
  bool mReadPending = false;
};

} // namespace heatherplank
