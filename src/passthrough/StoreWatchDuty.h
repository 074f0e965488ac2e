#pragma once

#include <optional>
#include <random>
#include <span>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Decides whether a balancer watches the store for changes of the routes, or
 * relies on others that do.
 *
 * Pattern: hundreds of balancers each hold a watch, and at each change each of
 * them reads the whole document, while the store's rates stay and every call
 * is paid for. A few watch in a large fleet, each in another data centre, and
 * the others hear of changes from them (InventoryPeers).
 *
 * Failure met: the few are cut off from the store, dead or stopped, and the
 * others go on with old routes without knowing. So it spreads with the versions
 * when the store last confirmed them, and who has had no confirmation for
 * mTrustFor watches by itself until one comes. A fleet whose members see each
 * other differently has a watcher more or less, and nothing else happens.
 *
 * Pure; not thread safe.
 */
class StoreWatchDuty
{
public:
  /** One in a data centre may be cut off with it, a second by chance. */
  static constexpr std::size_t kWatchers = 3;
  /** Up to so many balancers all watch: their calls are fewer than those of
   * kWatchers, whose watches must be short to confirm often. */
  static constexpr std::size_t kAllUpTo = 8;
  static constexpr Duration kWatchForIfAll = std::chrono::milliseconds(5000);
  /** After its start a balancer does not see the others yet. */
  static constexpr Duration kSeesOthersWithin = std::chrono::milliseconds(1000);
  /** Peers that run answer a notice within this; then the store is asked. */
  static constexpr Duration kPeersAnswerWithin = std::chrono::milliseconds(40);

  struct Options
  {
    HostId mSelf;
    DataCentreId mDataCentre;
    /** Routes come into force everywhere within this. */
    Duration mInForceWithin = std::chrono::milliseconds(3000);
    Time mStartedAt{};
    std::uint64_t mSeed = 1;
  };

  explicit StoreWatchDuty(const Options& aOptions);

  /** Another balancer knows that the store confirmed at aAt what is in force
   * here. */
  void OnConfirmed(Time aAt);

  /** This process did not run: what it was told since may be old. */
  void OnStandstill() { mConfirmedAt.reset(); }

  /** How long the next watch waits; none if this balancer does not watch.
   * aOthers: the other balancers in view. aHasRoutes: some are in force here.
   * aIsAsking: a document is on its way from a peer. */
  std::optional<Duration> WatchFor(std::span<const Member> aOthers,
                                   bool aHasRoutes, bool aIsAsking, Time aNow);

  /** When the store confirmed what is in force here, as others know. */
  std::optional<Time> ConfirmedAt() const { return mConfirmedAt; }

private:
  bool IsDue(std::span<const Member> aOthers, bool aHasRoutes, bool aIsAsking,
             Time aNow) const;
  bool IsChosen(std::span<const Member> aOthers) const;

  const Options mOptions;
  const Duration mTrustFor;
  std::minstd_rand mRandom;
  std::optional<Time> mConfirmedAt;
};

} // namespace heatherplank
