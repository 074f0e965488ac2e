#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/SteerMessages.h"

namespace heatherplank {

/** Tracks a balancer's pending searches for flows whose host is unknown, and
 * holds the packets that wait for a search to end.
 *
 * Guards against: the fabric starts to send the packets of an upload to another
 * balancer, and the sixteen in flight arrive there at once. If each packet
 * were searched for, it would be sent out many times and fill a link of 10
 * Mbit/s for a tenth of a second; callers would retransmit late packets, and
 * searches for the copies would keep the link full. At balancers with thin
 * links, a third of the opening packets were not answered within 30 ms and
 * nearly half of the uploads were late, long before any fault. So only one
 * search per flow runs at a time. Packets that arrive meanwhile wait a few
 * milliseconds for its result and go straight to the host.
 *
 * No I/O or clock access; not thread safe. */
class FlowSearches
{
public:
  /** A search takes a few milliseconds. After this timeout it has failed: the
   * packets that wait for it are dropped as if lost in the network, and the
   * next packet starts another search. Callers repeat a packet after 200 ms. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(60);
  /** How long a search is remembered. Further searches for the flow within this
   * time begin at other hosts. A caller's repeats arrive within 1.6 s. */
  static constexpr Duration kRetentionDuration = std::chrono::seconds(2);
  /** Maximum number of packets held per flow: twice the number that a caller
   * has in flight. */
  static constexpr std::size_t kMaxHeldPerFlow = 32;
  /** Maximum number of packets held for all flows together: some 2 MB. */
  static constexpr std::size_t kMaxHeldTotal = 1024;
  /** Maximum number of flows remembered. Each packet of a flow beyond this
   * limit is searched for. */
  static constexpr std::size_t kMaxFlows = 4096;

  /** What to do with a packet of a flow without a known host. */
  struct Decision
  {
    /** Search for the flow with this packet. If false, the packet is held or
     * was dropped. */
    bool mSearch = false;
    /** Number of recent searches for the flow, without this one. */
    std::uint32_t mEarlierSearches = 0;
  };

  Decision OnPacket(const FlowKey& aFlow, const SteeredPacket& aPacket,
                    Time aNow);

  /** Ends the search for a flow whose host is now known. Returns the held
   * packets in order. */
  std::vector<SteeredPacket> TakeFound(const FlowKey& aFlow);

private:
  struct Search
  {
    Time mStartedAt;
    std::uint32_t mAttempts = 0;
    std::vector<SteeredPacket> mHeld;
  };

  void DropHeld(Search& aSearch);
  void RemoveExpired(Time aNow);

  std::unordered_map<FlowKey, Search> mSearches;
  std::size_t mHeldTotal = 0;
  Time mLastExpiryAt{};
};

} // namespace heatherplank
