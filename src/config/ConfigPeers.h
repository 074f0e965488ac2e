#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** A balancer that takes part in configuration distribution. */
struct ConfigPeer
{
  HostId mId;
  DataCentreId mDataCentre;

  auto operator<=>(const ConfigPeer&) const = default;
};

/** Computes whether a balancer is a watcher and which peers it pushes to, from
 * the ids of all balancers alone, so that no election is needed. Views of the
 * fleet that differ cause superfluous or missing pushes; digests repair the
 * missing ones. Not thread safe.
 */
class ConfigPeers
{
public:
  /** aSelf is this balancer, aWatchers the number of watchers per data centre,
   * aFanout the number of children per tree. */
  ConfigPeers(ConfigPeer aSelf, std::size_t aWatchers, std::size_t aFanout);

  /** Sets the balancers believed to be alive, with or without this one. */
  void Set(std::span<const ConfigPeer> aPeers);

  /** True if this balancer is a watcher of its data centre, one of the first by
   * rendezvous hash. */
  bool IsWatcher() const { return mWatcherRank < mWatcherCount; }
  /** This balancer's position in the order of the rendezvous hash, from 0. */
  std::size_t WatcherRank() const { return mWatcherRank; }

  /** The balancers to push a new version to: this balancer's children in two
   * trees over the data centre. The order of the trees differs for each
   * version, which spreads the work, and differs between the two, so that one
   * dead balancer does not isolate a peer in both. A watcher is a root of both
   * trees. Other data centres have watchers of their own; if those are isolated
   * from the platform, digests announce the version to them.
   */
  std::vector<HostId> PushTargets(std::uint64_t aVersion) const;

  /** The balancers to send a digest to: a random one of this data centre and
   * one of another, where there are any. */
  std::vector<HostId> DigestTargets(std::mt19937_64& aRandom) const;

  /** A random balancer of this data centre other than aExcluded; without one,
   * of another data centre; none if there is no other balancer. */
  HostId PickOther(HostId aExcluded, std::mt19937_64& aRandom) const;

private:
  void AddChildren(std::uint64_t aSeed, std::vector<HostId>& aOut) const;

  ConfigPeer mSelf;
  std::size_t mWatcherCount;
  std::size_t mFanout;
  std::size_t mWatcherRank = 0;
  /** The other balancers of this data centre, and those of other ones. */
  std::vector<HostId> mLocalPeers;
  std::vector<HostId> mRemotePeers;
};

} // namespace heatherplank
