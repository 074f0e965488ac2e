#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/decide/FairQueue.h"
#include "src/passthrough/FlowAdmission.h"
#include "src/passthrough/PacketFormat.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Holds requests on open flows while the host has no free slot, and decides
 * which one the host gets next.
 *
 * Load: more requests on open flows than slots. FlowAdmission decides on
 * opening packets only, so without this class the host's own queue takes the
 * requests in order of arrival, and rejects the last one when it is full,
 * however important it is and however many its caller has sent.
 *
 * A request is the packets of one flow from its first new bytes on. Order:
 * importance; requests that can still be answered within their latency target;
 * round-robin by caller (FairQueue). Every eighth request released in turn is
 * the one that has waited longest, so that no importance starves.
 *
 * Overload: the host rejects requests only while its queue is full, and then no
 * slot is free. A request that waits for a slot would be released at its limit,
 * enter the queue behind others and be late. Therefore
 * - each answer releases the first request in order, whether or not a slot is
 *   free: it takes the place in the host's queue that the answer freed;
 * - the limit leaves the time that the request needs at the host;
 * - a rejection shows that the queue is full, and releases the ordinary request
 *   that has waited longest, which is rejected as well rather than late.
 *
 * No I/O or clock access; not thread safe.
 */
class RequestScheduler
{
public:
  /** Limits of what is held, for all flows together and for one flow. A packet
   * carries at most 1,200 bytes, a caller has 16 packets in flight. */
  static constexpr std::size_t kMaxPackets = 256;
  static constexpr std::size_t kMaxBytes = 524288;
  static constexpr std::size_t kMaxPacketsPerFlow = 32;
  /** Number of queues of callers, which bounds memory; callers with one hash
   * share a turn. */
  static constexpr std::size_t kCallerQueues = 1024;
  /** Every eighth request released in turn is the longest waiting one. */
  static constexpr std::uint32_t kOldestEvery = 8;

  /** A packet of the caller with its parsed header. */
  struct Packet
  {
    SteeredPacket mSteered;
    FlowPacket mHeader;
    bool mHasNewBytes = false;
  };
  /** A request that is to be delivered now. */
  struct Released
  {
    FlowKey mFlow;
    /** In order of arrival. */
    std::vector<Packet> mPackets;
    Time mArrival;
    /** Released at its limit rather than in turn. */
    bool mIsOverdue = false;
  };
  /** What the host's last packet showed. */
  enum class HostEvent : std::uint8_t
  {
    None,
    /** A request was answered. */
    Answered,
    /** The host's queue was full. */
    Rejected,
  };
  enum class Outcome : std::uint8_t
  {
    Held,
    /** A retransmission of a held packet; not needed. */
    Repeated,
    /** A limit is reached. Release the flow's held packets, if any, and deliver
     * this one after them; aPacket is unchanged. */
    NoRoom,
  };

  /** aSeed: of the hash of callers; differs from host to host. */
  explicit RequestScheduler(std::uint64_t aSeed);

  /** Whether a request that arrives now has to wait. In aHost, held requests
   * don't count as in progress, here and below. */
  bool MustWait(const HostCondition& aHost, Duration aTarget, Time aNow);

  /** Whether packets of the flow are held; later ones must follow them. */
  bool Holds(const FlowKey& aFlow) const { return mByFlow.contains(aFlow); }

  /** Holds the first packet of a request, or a later packet of a flow that is
   * held. Precondition for the first: its latency target is above 0. */
  Outcome Hold(Packet& aPacket, Time aNow);

  /** The next request that the host gets now, if any. Call it until it returns
   * none, after each change of aHost and several times a second; with aEvent
   * only in the first call after the event. */
  std::optional<Released> Next(const HostCondition& aHost, HostEvent aEvent,
                               Time aNow);

  /** Releases a flow's request out of turn; none if it is not held. */
  std::optional<Released> Take(const FlowKey& aFlow);

  /** Releases the longest held request; none if no request is held. */
  std::optional<Released> TakeOldest();

  /** Number of requests held. */
  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mRequests.size());
  }

private:
  static constexpr std::size_t kImportances =
    static_cast<std::size_t>(Importance::Critical) + 1;

  struct Held : QueuedRequest
  {
    FlowKey mFlow;
    Importance mImportance = Importance::Normal;
    /** In Queues::mLate rather than in mTimely. */
    bool mIsLate = false;
    std::vector<Packet> mPackets;
  };
  using Requests = std::list<Held>;
  /** The requests of one importance. */
  struct Queues
  {
    explicit Queues(std::uint64_t aSeed)
      : mTimely(aSeed, true, kCallerQueues)
      , mLate(aSeed, true)
    {
    }
    FairQueue mTimely;
    /** Requests that can't be answered within their target any more. */
    FairQueue mLate;
  };

  static bool IsHostFree(const HostCondition& aHost);
  bool HasRoom(std::size_t aBytes, std::size_t aFlowPackets) const;
  Outcome Append(Held& aRequest, Packet& aPacket);
  void Add(Held& aRequest, Packet& aPacket);
  /** The longest held request that has reached its limit; null if none has. */
  Held* FindOverdue(const HostCondition& aHost, Time aNow);
  /** The longest held request below High importance; null if none is held. */
  Held* FindOrdinary();
  /** Removes the first request in order from its queue. Precondition: one is
   * held. */
  Held& PopFirst(const HostCondition& aHost, Time aNow);
  FairQueue& QueueOf(const Held& aRequest);
  void MoveLate(Queues& aQueues, Duration aServiceTime, Time aNow);
  Held& Unqueue(Held& aRequest);
  /** Precondition: aRequest is in no queue. */
  Released Release(Held& aRequest);

  const std::uint64_t mSeed;
  /** In order of arrival. Outlives the queues, which refer to it. */
  Requests mRequests;
  std::array<Queues, kImportances> mQueues;
  std::unordered_map<FlowKey, Requests::iterator> mByFlow;
  std::size_t mPackets = 0;
  std::size_t mBytes = 0;
  std::uint32_t mReleasedInTurn = 0;
  /** No request is held before this time, because one with too short a target
   * arrived. */
  Time mHoldsAgainAt{};
};

} // namespace heatherplank
