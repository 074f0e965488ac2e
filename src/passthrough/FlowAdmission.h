#pragma once

#include <cstdint>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** An agent's view of its host when a new flow is offered. */
struct HostCondition
{
  bool mTakesNewFlows = false;
  /** The host does not reply to opening packets and may have crashed. */
  bool mSeemsDown = false;
  /** Started recently and is slower. */
  bool mIsCold = false;
  std::uint32_t mSlots = 1;
  /** Requests being processed, and flows being opened. */
  std::uint32_t mInProgress = 0;
  /** Estimated processing time of one request, without queueing. */
  Duration mServiceTime{};
};

/** A new flow that is offered to a host. */
struct FlowOffer
{
  Importance mImportance = Importance::Normal;
  Duration mLatencyTarget{};
  /** There are further candidates. */
  bool mHasMoreCandidates = false;
  /** An earlier candidate could serve the flow after waiting for mBestWait. */
  bool mHasBest = false;
  Duration mBestWait{};
  /** All other candidates were tried; the flow can't be forwarded. */
  bool mIsLastOffer = false;
  /** The opening packet is a retransmission, and the caller will send another:
   * the flow is late already, and dropping this packet doesn't lose it. */
  bool mWillRetransmit = false;
};

enum class FlowDecision : std::uint8_t
{
  Admit,
  /** Forward to the next candidate, which may be less loaded. */
  Forward,
  /** Forward to the earlier candidate with the shortest wait. */
  ForwardToBest,
  /** No candidate can answer in time. */
  Refuse,
};

/** Decides whether a host admits a new flow.
 *
 * Load: some ten hosts of two slots each at half load, 15 ms a request. With
 * hosts picked regardless of load, requests queue at one host while other hosts
 * have free slots, and a load report that reaches a balancer is as old as a
 * request takes. The agent knows its host's current load, so a flow is
 * forwarded along the candidate list until a host has a free slot, and returns
 * to the host with the shortest wait if none has.
 *
 * Saturation: a queue wait above the latency target makes every answer late. A
 * flow that would be late is therefore refused at its first packet, and
 * important flows may wait longer than others before they are refused.
 *
 * Mass return: after an outage there are two kinds of callers. Those that
 * waited retransmit opening packets and are late already; new callers can still
 * be answered in time. Admitted in order of arrival, the late flows fill the
 * queues and make all flows late. A retransmission that will be followed by
 * another is therefore admitted to a free slot only and never queues. With one
 * second's worth of callers back within 0.4 s at half load, 90 % of new ones
 * are in time (81 % without the rule); 87 % of late ones are served (97 %
 * without it).
 *
 * No I/O or clock access; thread safe.
 */
class FlowAdmission
{
public:
  struct Options
  {
    /** Share of the latency target that ordinary flows may spend queueing. The
     * rest is for processing and two network handshakes. At 1.4 times the
     * slots' capacity, 0.4 answers 98 % of important flows and 63 % of others
     * in time; 0.6, where both kinds share the queue, 66 % of each. */
    double mWaitShare = 0.4;
    /** The same share for flows of High importance and above. They may queue
     * where others are refused, so in saturation they get the slots first. */
    double mImportantWaitShare = 1.2;
    /** Maximum requests queued per slot of a host. Hosts have a short queue and
     * reject the excess, which wastes the work of opening the flow. */
    double mMaxWaitingPerSlot = 3.5;
    /** Queue places per slot reserved for flows of High importance and above.
     * With long targets, such as 200 ms, the queue fills before the target's
     * share is reached, and important flows would be refused like others:
     * at 1.3 times the slots' capacity 79 % of each were in time, with two
     * places reserved per host 100 % and 71 %. One place suffices under a
     * steady load; the second is for bursts of important flows. */
    double mReservedPerSlot = 1;
  };

  FlowAdmission() = default;
  explicit FlowAdmission(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  FlowDecision Decide(const HostCondition& aHost,
                      const FlowOffer& aOffer) const;

  /** How long one more request would wait for a slot. */
  static Duration WaitAt(const HostCondition& aHost);

private:
  bool HasFreeSlot(const HostCondition& aHost) const;
  bool IsWorthWaiting(const HostCondition& aHost,
                      const FlowOffer& aOffer) const;

  Options mOptions;
};

} // namespace heatherplank
