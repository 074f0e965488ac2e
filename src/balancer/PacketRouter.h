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

/** A datagram and its destination. */
struct Outgoing
{
  Address mTo;
  Bytes mDatagram;
};

/** Steers a caller's packet: returns the datagram to send to an agent, a
 * refusal to the caller, or nothing. Holds only soft state: routes are set from
 * outside, and hints may be lost. Thread safe: hints are sharded by the flow's
 * hash, with one lock per shard. */
class PacketRouter
{
public:
  /** aTunnel is this balancer's tunnel address, to which agents send hints. */
  PacketRouter(MetricsRegistry& aMetrics, const Address& aTunnel,
               std::size_t aMaxHints);
  ~PacketRouter();

  /** Replaces the routes for subsequent packets. */
  void SetRoutes(RoutesPtr aRoutes);

  /** While false (the default), packets are dropped and counted. */
  void SetReady(bool aReady) { mReady = aReady; }

  /** Steers a caller's packet from the fabric. Returns a datagram to an agent,
   * a refusal to the caller if the packet can't be steered, or nothing if the
   * packet is dropped; refusals and drops are counted. */
  std::optional<Outgoing> OnPacket(const Packet& aPacket);

  /** Caches the owner of a flow; an owner without a host removes the hint. */
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
  std::atomic<bool> mReady{ false };
  std::array<Counter*, 3> mRefused;
  std::vector<std::unique_ptr<Shard>> mShards;
  mutable std::mutex mRoutesLock;
  RoutesPtr mRoutes;
};

} // namespace heatherplank
