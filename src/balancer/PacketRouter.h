#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "src/balancer/Routes.h"
#include "src/steer/HintCache.h"
#include "src/steer/Steering.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

class Counter;
class MetricsRegistry;

/** A datagram and where it goes. */
struct Outgoing
{
  Address mTo;
  Bytes mDatagram;
};

/** The balancer's pipeline for a packet: parse, steer, deliver. Holds nothing
 * that matters: routes are given to it, hints may be lost. Thread safe: hints
 * are in shards by the flow's hash, each under its own lock.
 */
class PacketRouter
{
public:
  /** aTunnel is this balancer's own tunnel address, where agents send hints.
   */
  PacketRouter(MetricsRegistry& aMetrics, const Address& aTunnel,
               std::size_t aMaxHints);
  ~PacketRouter();

  /** Puts other routes in force, for packets from now on. */
  void SetRoutes(RoutesPtr aRoutes);

  /** Until this is true packets are dropped and counted. */
  void SetUsable(bool aUsable) { mUsable = aUsable; }

  /** Steers a caller's packet from the fabric: what goes to an agent, or an
   * answer to the caller if there is none, or nothing (counted). */
  std::optional<Outgoing> OnPacket(const Packet& aPacket);

  /** Remembers the owner of a flow. */
  void OnHint(const FlowKey& aFlow, const OwnerHint& aOwner);

private:
  struct Shard
  {
    explicit Shard(std::size_t aHints)
      : mHints(aHints)
    {
    }
    std::mutex mLock;
    HintCache mHints;
  };

  RoutesPtr CurrentRoutes() const;
  Shard& ShardOf(std::uint64_t aFlowHash);
  std::optional<Outgoing> Refuse(const Packet& aPacket, SteerRefusal aReason);

  Address mTunnel;
  Counter& mForwarded;
  Counter& mMalformed;
  Counter& mNotReady;
  std::atomic<bool> mUsable{ false };
  std::array<Counter*, 3> mRefused;
  std::vector<std::unique_ptr<Shard>> mShards;
  mutable std::mutex mRoutesLock;
  RoutesPtr mRoutes;
};

} // namespace heatherplank
