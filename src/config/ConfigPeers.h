#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** A balancer as configuration distribution knows it. */
struct ConfigPeer
{
  HostId mId;
  DataCentreId mDataCentre;

  auto operator<=>(const ConfigPeer&) const = default;
};

/** Whom a balancer watches for and pushes to, worked out from their ids alone,
 * so that nobody has to be elected. Views of the fleet that differ cost a few
 * pushes too many or too few; digests make good the latter. Not thread safe.
 */
class ConfigPeers
{
public:
  /** aSelf is this balancer; aWatchers the number of watchers a data centre,
   * aFanout the number of children in each tree. */
  ConfigPeers(ConfigPeer aSelf, std::size_t aWatchers, std::size_t aFanout);

  /** The balancers that are believed to live; whether this one is among them
   * makes no difference. */
  void Set(std::span<const ConfigPeer> aPeers);

  /** True if this balancer is one of its data centre's watchers: the first by
   * rendezvous hash. */
  bool IsWatcher() const { return mRank < mWatchers; }
  /** Its place in that order, from 0. */
  std::size_t WatcherRank() const { return mRank; }

  /** Whom to push a new version to: this balancer's children in two trees over
   * the data centre, whose order differs for each version, so that the work
   * moves around and one dead balancer cuts nobody off from both. A watcher is
   * the root of both. Other data centres have watchers of their own; if those
   * are cut off from the platform, digests tell them.
   */
  std::vector<HostId> PushTargets(std::uint64_t aVersion) const;

  /** Whom to send a digest to: one balancer of the data centre and one of
   * another, as far as there are any. */
  std::vector<HostId> DigestTargets(std::mt19937_64& aRandom) const;

  /** Any balancer of the data centre, else any at all, but aNot; none if there
   * is no other. */
  HostId Another(HostId aNot, std::mt19937_64& aRandom) const;

private:
  void PushToChildren(std::uint64_t aSeed, std::vector<HostId>& aOut) const;

  ConfigPeer mSelf;
  std::size_t mWatchers;
  std::size_t mFanout;
  std::size_t mRank = 0;
  /** Other balancers of this data centre, and of other ones. */
  std::vector<HostId> mNear;
  std::vector<HostId> mFar;
};

} // namespace heatherplank
