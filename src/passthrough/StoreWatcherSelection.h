#pragma once

#include <optional>
#include <random>
#include <span>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/RouteGuards.h"
#include "src/passthrough/WatchSchedule.h"

namespace heatherplank {

/** Decides whether a balancer watches the store for changes of the routes, or
 * relies on other balancers that do.
 *
 * If each of hundreds of balancers watched, each would read the whole document
 * at every change, while the store's rate limits stay the same and every call
 * is billed. In a large fleet a few balancers watch, in different data centres,
 * and notify the others of changes (InventoryPeers).
 *
 * Guards against: the watchers are cut off from the store, dead or stopped, and
 * the others keep old routes without knowing. Notices therefore carry the time
 * of the store's last confirmation besides the version, and a balancer without
 * a confirmation for mConfirmationLifetime watches until one arrives. Different
 * membership views only cause a watcher more or less.
 *
 * Guards against: all watches of a small fleet go silent together. A change
 * ends all of them at once, so the next ones would also time out together, long
 * after the propagation timeout. Their first waits therefore differ: one ends
 * every kWatchGap, and the first balancer that gets no response reads the store
 * and notifies the others.
 *
 * No I/O or clock access; not thread safe.
 */
class StoreWatcherSelection
{
public:
  /** Tolerates two failures: one watcher is cut off along with its data centre,
   * and a second one fails independently. */
  static constexpr std::size_t kWatcherCount = 3;
  /** In a fleet of up to this size all balancers watch, with fewer calls than
   * kWatcherCount watchers, whose watches must be short to confirm often. */
  static constexpr std::size_t kSmallFleetSize = 8;
  static constexpr Duration kSmallFleetWatchDuration =
    std::chrono::milliseconds(5000);
  /** The longest time between the ends of two watches of a small fleet, unless
   * it has less than kSmallFleetMinWatchDuration / kWatchGap balancers. */
  static constexpr Duration kWatchGap = std::chrono::milliseconds(1250);
  /** Bounds the store calls of a single balancer. */
  static constexpr Duration kSmallFleetMinWatchDuration =
    std::chrono::milliseconds(1500);
  /** How long after its start a balancer may not know the others yet. */
  static constexpr Duration kPeerDiscoveryTimeout =
    std::chrono::milliseconds(1000);
  /** Running peers answer a starting balancer's notice within this time; if it
   * then has no routes and is receiving none, it reads the store. */
  static constexpr Duration kPeerResponseTimeout =
    std::chrono::milliseconds(40);

  struct Options
  {
    HostId mSelf;
    DataCentreId mDataCentre;
    /** Changed routes must be in force on all balancers within this time. */
    Duration mPropagationTimeout = std::chrono::milliseconds(3000);
    Time mStartedAt{};
    std::uint64_t mSeed = 1;
    RouteGuards mGuards{};
  };

  explicit StoreWatcherSelection(const Options& aOptions);

  /** Another balancer reports that the store confirmed at aAt the version that
   * is in force here. */
  void OnConfirmed(Time aAt);

  /** This process was stalled: notices received since may be old. */
  void OnProcessStall() { mConfirmedAt.reset(); }

  /** How long the next watch waits; none if this balancer does not watch.
   * aOthers: the other balancers in the membership view. aHasRoutes: routes are
   * in force here. aIsDocumentPending: a document was requested from a peer. */
  std::optional<WatchSchedule::WatchWait> NextWatchWait(
    std::span<const Member> aOthers, bool aHasRoutes, bool aIsDocumentPending,
    Time aNow);

  /** Whether to abandon a watch that has been pending for aPending, and to read
   * instead. aConfirmedAt: when the store last confirmed the routes here.
   *
   * Guards against: balancers' watches go silent one after the other, so that
   * no other balancer notifies this one before its own watch times out. */
  bool ShouldAbandonWatch(Time aConfirmedAt, Duration aPending,
                          Time aNow) const;

  /** When the store last confirmed the version in force here, as reported by
   * other balancers. */
  std::optional<Time> ConfirmedAt() const { return mConfirmedAt; }

private:
  bool ShouldWatch(std::span<const Member> aOthers, bool aHasRoutes,
                   bool aIsDocumentPending, Time aNow) const;
  bool IsSelected(std::span<const Member> aOthers) const;
  WatchSchedule::WatchWait SmallFleetWait(
    std::span<const Member> aOthers) const;

  const Options mOptions;
  const Duration mConfirmationLifetime;
  std::minstd_rand mRandom;
  std::optional<Time> mConfirmedAt;
};

} // namespace heatherplank
