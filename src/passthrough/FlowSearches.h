#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Tracks a balancer's pending lookups of flows whose host is unknown, and
 * holds their packets, including the first one, until the host is known. A
 * lookup first asks the record replicas of the flow (Stage::Locating), and then
 * queries the hosts (Stage::Querying).
 *
 * Guards against: the fabric starts to send the packets of an upload to another
 * balancer, and the sixteen in flight arrive there at once. If each packet
 * started a lookup, the messages of these would fill the link of a small
 * balancer, callers would retransmit late packets, and lookups for the copies
 * would keep the link full. So only one lookup per flow runs at a time. Packets
 * that arrive meanwhile wait a few milliseconds for its result and go straight
 * to the host.
 *
 * No I/O or clock access; not thread safe. */
class FlowSearches
{
public:
  /** A replica answers within a few milliseconds. After this timeout the hosts
   * are queried without it. */
  static constexpr Duration kLocateTimeout = std::chrono::milliseconds(20);
  /** A lookup takes a few milliseconds, and 220 ms if the replicas do not
   * answer (20 ms), the next batch of queries is awaited (50 ms), the own data
   * centre does not reply (40 ms), and in another one the first agent asked
   * does not (100 ms). After this timeout it has failed: the packets that wait
   * for it are dropped as if lost in the network, and the next packet starts
   * another lookup. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);
  /** How long a failed lookup is remembered. A packet of it that a replica
   * returns late starts no other one. */
  static constexpr Duration kRetentionDuration = std::chrono::seconds(2);
  /** Maximum number of packets held per flow: twice the number that a caller
   * has in flight. */
  static constexpr std::size_t kMaxHeldPerFlow = 32;
  /** Maximum number of packets held for all flows together, without the first
   * packet of each: some 2 MB. */
  static constexpr std::size_t kMaxHeldTotal = 1024;
  /** Maximum number of lookups remembered, each with its first packet: some 6
   * MB. Packets of further flows are dropped as if lost in the network. */
  static constexpr std::size_t kMaxFlows = 4096;

  enum class Stage : std::uint8_t
  {
    /** The first packet was sent to the record replicas, if there are any. */
    Locating,
    /** The hosts are queried. */
    Querying,
  };

  /** A packet of a flow without a known host has arrived. Returns whether it
   * begins a lookup, in Stage::Locating. If not, the packet is held or was
   * dropped. */
  bool OnPacket(const FlowKey& aFlow, const SteeredPacket& aPacket, Time aNow);

  /** A replica or agent has returned a packet. Like OnPacket; a returned copy
   * of the lookup's first packet is not held again. */
  bool OnReturned(const FlowKey& aFlow, const SteeredPacket& aPacket,
                  Time aNow);

  /** Moves a lookup from Stage::Locating to Stage::Querying. Returns false if
   * there is none in Stage::Locating: each lookup queries the hosts once. */
  bool BeginQuery(const FlowKey& aFlow);

  /** Whether the flow has a lookup in Stage::Locating. */
  bool IsLocating(const FlowKey& aFlow) const;

  /** The first packet of the lookup, or null. Valid until the next call. */
  const SteeredPacket* First(const FlowKey& aFlow) const;

  /** Returns the flows whose replicas did not answer within kLocateTimeout.
   * They stay in Stage::Locating until BeginQuery(). */
  std::vector<FlowKey> TakeUnlocated(Time aNow);

  /** When to call TakeUnlocated() next, if nothing happens before. */
  std::optional<Time> NextAt() const;

  /** Ends the lookup of a flow whose host is now known. Returns the packets to
   * be delivered, in order: the held ones, without the first packet in
   * Stage::Locating, which the replica has forwarded. */
  std::vector<SteeredPacket> TakeFound(const FlowKey& aFlow);

private:
  struct Lookup
  {
    Time mStartedAt;
    Stage mStage = Stage::Locating;
    std::optional<SteeredPacket> mFirst;
    std::vector<SteeredPacket> mHeld;
  };

  /** Returns null if there is no room. */
  Lookup* Begin(const FlowKey& aFlow, const SteeredPacket& aPacket, Time aNow);
  void Hold(Lookup& aLookup, const SteeredPacket& aPacket);
  void DropHeld(Lookup& aLookup);
  void RemoveOlderThan(Duration aAge, Time aNow);

  std::unordered_map<FlowKey, Lookup> mLookups;
  /** Lookups in the order of their start. Entries of lookups that have left
   * Stage::Locating are skipped. */
  std::deque<std::pair<Time, FlowKey>> mByStart;
  /** Packets in all Lookup::mHeld. */
  std::size_t mHeldTotal = 0;
  Time mLastExpiryAt{};
};

} // namespace heatherplank
