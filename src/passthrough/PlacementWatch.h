#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** A host to which an opening packet can be offered. */
struct PlacementCandidate
{
  HostId mHost;
  Address mTunnel;
};

/** Watches opening packets until an agent reports their outcome, and detects
 * hosts that do not answer.
 *
 * Guards against: the first candidate lost power or is cut off. Membership
 * misses its heartbeats only after a second or more, and the caller repeats its
 * opening packet after 200 ms, which is above the latency target of most
 * requests. So the packet is offered to the other candidates after
 * kAnswerTimeout, and later flows try the unresponsive host last. Two hosts may
 * then answer; the caller acknowledges one, so the flow still opens once.
 *
 * No I/O or clock access; not thread safe. */
class PlacementWatch
{
public:
  /** An offer takes some 5 ms to be forwarded along the candidate list. The
   * rest allows for the pauses of hosts whose share of a core is small. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(30);
  /** If a timeout is noticed later than this, the host is not at fault: this
   * process was not scheduled, and the answer may wait in its socket. */
  static constexpr Duration kStallTolerance = std::chrono::milliseconds(20);
  /** Maximum number of repeated offers of one packet. Each offer is forwarded
   * to up to eight hosts. When packets were offered to all hosts in turn while
   * the whole system was slow, each packet of a caller became dozens, and their
   * load kept the system slow. */
  static constexpr int kMaxRepeatedOffers = 2;
  /** For this long an unresponsive host is tried last: more than one heartbeat.
   * Membership suspects it later. */
  static constexpr Duration kSuspicionDuration = std::chrono::milliseconds(700);
  /** For this long after its arrival an opening packet is the only copy that
   * its caller has sent. Callers repeat it after 200 ms, and some of this time
   * passed before the packet arrived here. */
  static constexpr Duration kSingleCopyDuration =
    std::chrono::milliseconds(150);
  /** Maximum number of opening packets watched; further ones are sent
   * unwatched. */
  static constexpr std::size_t kMaxWatched = 8192;

  struct RepeatedOffer
  {
    FlowKey mFlow;
    SteeredPacket mSteered;
    std::vector<PlacementCandidate> mCandidates;
    /** Address of the host that did not answer. */
    Address mUnresponsive;
    /** Number of repeated offers. */
    int mRepeatedOffers = 0;
  };

  /** Whether an earlier copy of an opening packet may have opened its flow. */
  enum class Copy : std::uint8_t
  {
    First,
    Later,
  };

  /** Watches a packet that was offered to the first of aCandidates. */
  void Begin(const FlowKey& aFlow, SteeredPacket aSteered,
             std::vector<PlacementCandidate> aCandidates, Copy aCopy, Time aNow,
             int aRetries = 0);

  /** An opening packet to which a host has answered. */
  struct Answered
  {
    Time mSentAt{};
    SteeredPacket mSteered;
  };

  /** Ends the watch because a host answered for the flow. Returns the packet,
   * if it is watched. */
  std::optional<Answered> End(const FlowKey& aFlow);

  /** Ends the watch because the candidates refused the flow. Returns true if
   * the caller may be sent a reset.
   *
   * Guards against: a host that answers late, or whose agent was stalled,
   * opens the flow with one copy of its opening packet, and the refusal of
   * another copy resets the open flow although its host is alive. So a reset is
   * sent only if this was the only copy ever offered, and before the caller
   * sends another one, which any balancer may offer. A caller that receives
   * nothing repeats its packet or gives up by itself. */
  bool EndRefused(const FlowKey& aFlow, Time aNow);

  /** Call after a process stall: other balancers may have opened the watched
   * flows. */
  void ForgetAll();

  /** Removes and returns the flows whose first candidate did not answer in
   * time. That candidate is suspected from now on and is not among the returned
   * candidates. */
  std::vector<RepeatedOffer> TakeTimedOut(Time aNow);

  /** When to call TakeTimedOut() next, if nothing happens before. */
  std::optional<Time> NextAt() const;

  /** Whether an opening packet of the flow is unanswered. */
  bool IsWatched(const FlowKey& aFlow) const
  {
    return mWatched.contains(aFlow);
  }

  /** Whether an offer to the host as first candidate timed out within the last
   * kSuspicionDuration, and the host has not answered since. */
  bool IsSuspected(HostId aHost, Time aNow) const;

  /** Call when the host has answered. */
  void ClearSuspicion(HostId aHost) { mSuspects.erase(aHost); }

  std::size_t Size() const { return mWatched.size(); }

private:
  struct Watched
  {
    RepeatedOffer mRepeatedOffer;
    Copy mCopy = Copy::First;
    /** Start of the timeout: when the packet was offered, or when its timeout
     * was restarted (see kStallTolerance). */
    Time mSentAt;
    Time mOfferedAt;
  };

  std::unordered_map<FlowKey, Watched> mWatched;
  /** Ordered by mSentAt; entries of flows that ended are skipped. */
  std::multimap<Time, FlowKey> mBySentAt;
  std::unordered_map<HostId, Time> mSuspects;
};

} // namespace heatherplank
