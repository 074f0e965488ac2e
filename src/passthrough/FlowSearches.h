#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/SteerMessages.h"

namespace heatherplank {

/** The searches that a balancer has under way for flows whose host it does not
 * know, and the packets that wait for one to end.
 *
 * Failure met: the fabric moves an upload to another balancer, and the sixteen
 * packets that its caller has under way come at once. Searched for one by one,
 * each of them goes out many times, fills a link of 10 Mbit/s for a tenth of a
 * second, callers send again what is late, and the searches for the copies keep
 * the link full. Shown by a third of the opening packets unanswered within
 * 30 ms at balancers with thin links, and nearly half of the uploads not in
 * time, long before any fault. A flow is searched for once; what comes
 * meanwhile waits for the answer, which takes a few milliseconds, and goes
 * straight to its host.
 *
 * Pure; not thread safe.
 */
class FlowSearches
{
public:
  /** A search takes a few ms; after this it failed, what waits is dropped as if
   * lost on the way, and the next packet begins another one. Callers repeat a
   * packet after 200 ms. */
  static constexpr Duration kAnswerWithin = std::chrono::milliseconds(60);
  /** How long it is remembered that a flow was searched for: until then further
   * searches begin at other hosts. A caller's repeats come within 1.6 s. */
  static constexpr Duration kRememberFor = std::chrono::seconds(2);
  /** Packets of one flow that wait at most: twice those that a caller has under
   * way at once. */
  static constexpr std::size_t kMostHeld = 32;
  /** Packets that wait at most, of all flows: some 2 MB. */
  static constexpr std::size_t kMostHeldInAll = 1024;
  /** Flows remembered at most; what exceeds them is searched for each time. */
  static constexpr std::size_t kMostFlows = 4096;

  /** What to do with a packet of a flow without a known host. */
  struct Verdict
  {
    /** Search for the flow with this packet; else it waits, or was dropped. */
    bool mSearch = false;
    /** Searches for the flow of late, without this one. */
    std::uint32_t mEarlier = 0;
  };

  Verdict OnPacket(const FlowKey& aFlow, const SteeredPacket& aPacket,
                   Time aNow);

  /** The flow's host is known: gives the packets that waited, in order. */
  std::vector<SteeredPacket> TakeFound(const FlowKey& aFlow);

private:
  struct Search
  {
    Time mBeganAt;
    std::uint32_t mTimes = 0;
    std::vector<SteeredPacket> mHeld;
  };

  void DropHeld(Search& aSearch);
  void Forget(Time aNow);

  std::unordered_map<FlowKey, Search> mSearches;
  std::size_t mHeldInAll = 0;
  Time mForgotAt{};
};

} // namespace heatherplank
