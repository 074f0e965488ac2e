#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/ColdRate.h"
#include "src/passthrough/DrainLease.h"
#include "src/passthrough/FlowAdmission.h"
#include "src/passthrough/HostAnnouncement.h"
#include "src/passthrough/HostStatus.h"
#include "src/passthrough/HostStatusGuards.h"
#include "src/passthrough/NewByteDetector.h"
#include "src/passthrough/OpeningHistory.h"
#include "src/passthrough/PacketFormat.h"
#include "src/passthrough/RequestScheduler.h"
#include "src/passthrough/ServiceTime.h"
#include "src/passthrough/WorkInProgress.h"
#include "src/steer/BoundedTable.h"
#include "src/wire/InventoryMessages.h"
#include "src/wire/LocationMessages.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Durations that an agent measures at its host. */
enum class HostTiming : std::uint8_t
{
  /** From forwarding an opening packet to the host's reply. */
  Opening,
  /** From a request's last packet to the first packet of its answer. */
  Answer,
};

/** Carries out the decisions of HostFlows. Called with no lock held. */
class HostFlowsOutput
{
public:
  virtual ~HostFlowsOutput() = default;

  virtual void ToHost(ByteView aPacket) = 0;
  /** aCaller: the caller's address of the flow. */
  virtual void ToCaller(const Address& aCaller, ByteView aPacket) = 0;
  /** Sends to another agent or, with purpose NotHere, back to a balancer. */
  virtual void Steer(const Address& aTo, const SteeredPacket& aPacket) = 0;
  virtual void Report(const Address& aBalancer,
                      const PlacementReport& aReport) = 0;
  virtual void RecordDuration(HostTiming aTiming, Duration aTook) = 0;
};

/** Events of packets and flows; one counter each. */
enum class HostFlowEvent : std::uint8_t
{
  Placed,
  /** A copy of the opening packet of a flow that has ended was dropped. */
  LateOpening,
  /** An opening packet was forwarded to the next candidate. */
  PassedOn,
  /** An opening packet was forwarded to the host with the shortest queue. */
  SentToBest,
  Refused,
  RefusedOtherService,
  Delivered,
  /** A search was forwarded to the next candidate. */
  Searched,
  /** A packet of an unknown flow was delivered to the host as a probe. */
  Probed,
  /** A packet did not match the open flow between its addresses. */
  OtherFlow,
  /** The host returned a packet to this agent: it does not hold the flow or
   * could not accept the packet. */
  Bounced,
  FlowLost,
  /** A search found the flow at none of the candidates. */
  SearchEnded,
  /** A packet was sent back to the balancer that expected the flow here. */
  NotHere,
  TableFull,
  Malformed,
  Answered,
  /** A query asked for a flow at this host. */
  Queried,
  /** The agent could not tell whether the host holds the queried flow. */
  QueriedUnknown,
  /** A request on an open flow was held because the host had no free slot. */
  RequestHeld,
  /** A held request was delivered in turn. */
  RequestInTurn,
  /** A held request was delivered at its limit. */
  RequestOverdue,
  Last = RequestOverdue,
};

std::string_view ToString(HostFlowEvent aEvent);

/** Safety checks of HostFlows. All are on in production; tests switch one off
 * to reproduce the failure that it prevents. */
struct HostFlowGuards
{
  /** Rejects packets of a service that the host does not run. */
  bool mCheckService = true;
  /** Checks the caller's acknowledgement number before a flow counts as open
   * at this host. */
  bool mCheckAcknowledgement = true;
  /** After an agent restart, probes the host for flows that it may hold. */
  bool mProbeUnknownFlows = true;
  /** Admits no new flow before the host's first announcement. */
  bool mRequireAnnouncement = true;
  /** Denies a flow in a query only if its entry could not have been missed. */
  bool mDenyOnlyIfObserved = true;
  /** Tells a new flow from an earlier one between the same addresses by the
   * sequence number of its opening packet. */
  bool mCheckOpening = true;
  /** Checks the caller's acknowledgement number also once a flow is open. */
  bool mCheckOpenAcknowledgement = true;
};

/** An agent's table of the flows that its host holds and of the requests in
 * progress on them. Admits new flows or forwards them to another host, and
 * delivers packets of flows that the host holds. The only other packets that
 * reach the host are probes for flows that the agent does not know.
 *
 * The host is authoritative for the flows that it holds; the table records the
 * packets seen in both directions. An agent that restarted probes the host by
 * delivering a packet of an unknown flow: the host returns the packet to the
 * agent if it does not hold the flow. No I/O or clock access; not thread safe.
 */
class HostFlows
{
public:
  struct Options
  {
    HostId mHost;
    /** Address at which other agents and balancers reach this agent. */
    Address mSelf;
    ServiceId mService;
    /** Capacity of the flow table. */
    std::size_t mMaxFlows = 16384;
    /** Idle flows are removed after this duration. Until it has passed since
     * the agent's start, the host may hold flows that the agent doesn't know.
     */
    Duration mFlowRetention = std::chrono::seconds(60);
    /** Time between the host's announcements. */
    Duration mAnnouncementInterval = std::chrono::milliseconds(1200);
    /** A host without an announcement for this long counts as unresponsive. */
    Duration mAnnouncementTimeout = std::chrono::milliseconds(3600);
    FlowAdmission::Options mAdmission;
    HostFlowGuards mGuards;
    HostStatusGuards mStatusGuards;
    /** Holds requests on open flows while the host has no free slot. */
    bool mScheduleRequests = true;
    /** Seeds the hash of callers; differs from host to host. */
    std::uint64_t mSeed = 0;
  };

  /** aFormat and aOutput must outlive this object. */
  HostFlows(const Options& aOptions, const PacketFormat& aFormat,
            HostFlowsOutput& aOutput, Time aNow);

  /** A packet from a balancer or another agent. */
  void OnSteered(SteeredPacket aSteered, Time aNow);

  /** Whether the host holds a flow, as far as this agent knows. NotHeld: the
   * host will not hold the flow before an opening packet reaches it. */
  FlowOutcome Answer(const QueriedFlow& aFlow, Time aNow);

  /** Whether Answer is Unknown for a flow only because the host was not
   * observed from its start. */
  bool IsUnknownBecauseUnobserved(const FlowKey& aFlow, Time aNow);

  /** Unset if the host's announcements have no numbers. */
  std::optional<HostAges> Ages(Time aNow) const;

  /** HostStatus::TimeSinceRepeatedAnnouncement. */
  std::optional<Duration> AgeAfterCommonStart(Time aNow) const;

  /** A packet from the host: to a caller, or returned to this agent. */
  void OnHostPacket(ByteView aPacket, Time aNow);

  AnnouncementEffect OnAnnouncement(const HostAnnouncement& aAnnouncement,
                                    Time aNow);

  /** A balancer reports that the data centre is drained. */
  void OnDrainNotice(const DrainNotice& aNotice, Time aNow);

  /** The agent is about to stop: admits no new flows and holds no requests from
   * now on. */
  void Leave(Time aNow);

  /** Removes expired state, and delivers requests that were held for long
   * enough. Call at least ten times a second. */
  void OnTick(Time aNow);

  const HostStatus& Host() const { return mHostStatus; }
  HostCondition Condition(Time aNow) const;
  /** Whether the data centre is drained: the host is given no new flows. */
  bool IsDrained(Time aNow) const { return mDrain.IsDrained(aNow); }
  std::size_t Size() const { return mFlows.Size(); }
  /** Number of requests held. */
  std::uint32_t RequestsHeld() const { return mScheduler.Size(); }
  std::uint64_t Count(HostFlowEvent aEvent) const
  {
    return mCounts[static_cast<std::size_t>(aEvent)];
  }

private:
  /** How long a flow that is being opened counts as a request in progress. A
   * caller sends its request after a round trip of about 10 ms plus the delay
   * of slow balancers. A flow that was offered to two hosts never opens at one
   * of them: with 300 ms such flows filled the slots of idle hosts, and the
   * refusals caused more retransmissions. */
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(50);

  enum class Stage : std::uint8_t
  {
    /** The host returned a packet of the flow to this agent: it does not hold
     * the flow, and will not hold it before an opening packet arrives.
     *
     * Guards against: while the agent of a flow's host restarts, the balancers
     * search for each packet that the caller retransmits, and all agents that
     * restarted recently probe their hosts with it. Packets of an open flow
     * then reach other hosts repeatedly. This stage limits each host to one
     * probe per flow. */
    NotHere,
    /** The opening packet was delivered to the host. */
    Offered,
    /** The host replied; the caller may still open the flow at another host. */
    Answered,
    /** The caller acknowledged this host's reply, or the host sent data. */
    Open,
  };
  enum class RequestState : std::uint8_t
  {
    /** No request has begun since the flow was opened. */
    None,
    InProgress,
    /** The host has answered; the next new bytes begin a request. */
    Answered,
  };
  struct Flow
  {
    Stage mStage = Stage::Offered;
    /** The host's initial sequence number. The caller's acknowledgement number
     * shows at which host the caller opened the flow. */
    std::uint32_t mHostSequence = 0;
    bool mHostSequenceKnown = false;
    /** The sequence number after the host's last byte that was seen, unset
     * before any; in Stage::NotHere, after the last one that the caller
     * acknowledged. */
    std::optional<std::uint32_t> mHostNext{};
    /** Acknowledged by the last packet of another flow between the addresses.
     */
    std::optional<std::uint32_t> mOtherNotHere{};
    /** Value of mHostIncarnations when the host replied. */
    std::uint32_t mHostIncarnation = 0;
    /** The host closed its direction, or either end reset the flow; no further
     * request can begin. */
    bool mFinished = false;
    OpeningHistory mOpenings;
    /** When the opening packet was first delivered to the host. */
    Time mOpeningAt{};
    RequestState mRequest = RequestState::None;
    NewByteDetector mFromCaller;
    /** The balancer that last received a report of the flow's host. */
    Address mNotifiedBalancer;
  };
  using Table = BoundedTable<Flow>;
  /** How to forward a packet if the host returns it to this agent. */
  struct Pending
  {
    std::uint32_t mTag = 0;
    FlowKey mFlow;
    SteeredPacket mSteered;
  };
  /** Packets that the host may still return to this agent. A round trip within
   * the VM takes at most 1 ms, and a host receives a few thousand packets a
   * second. */
  static constexpr std::size_t kMaxPending = 256;

  /** What an opening packet is to the flow that the table has between the same
   * addresses. */
  enum class OpeningKind : std::uint8_t
  {
    /** A copy of the flow's opening packet. */
    Copy,
    /** As Copy, or the opening of another flow: this agent has not seen the
     * flow's opening packet. */
    MaybeCopy,
    /** A copy that was delayed until its flow had ended. */
    LateCopy,
    /** The caller uses its port again. */
    OtherFlow,
  };
  /** Copies of an opening packet arrive within this time: callers send them
   * within 600 ms, and the network delays packets by a few seconds at most. */
  static constexpr Duration kMaxCopyDelay = std::chrono::seconds(3);

  void Place(SteeredPacket& aSteered, const FlowPacket& aPacket, Time aNow);
  OpeningKind Classify(const Flow& aFlow, const FlowPacket& aOpening,
                       Time aNow) const;
  static void RecordOpening(Flow& aFlow, const FlowPacket& aOpening, Time aNow);
  void DropLateCopy(const SteeredPacket& aSteered, Table::Entry& aEntry,
                    Time aNow);
  /** Like Condition; a cold host above the flow's cold rate takes no flows. */
  HostCondition ConditionFor(const SteeredPacket& aSteered, Time aNow) const;
  bool MayBeCold(Time aNow) const;
  void HandleRepeatedOpening(SteeredPacket& aSteered, const FlowPacket& aPacket,
                             Table::Entry& aEntry, Time aNow);
  void Admit(SteeredPacket& aSteered, const FlowPacket& aPacket, Time aNow);
  void ForwardPlacement(SteeredPacket& aSteered, const FlowKey& aFlow,
                        Time aNow);
  void Refuse(const SteeredPacket& aSteered, const FlowKey& aFlow, Time aNow);
  /** Age of the host's last announcement in ms; -1 if there is none. */
  std::int64_t MsSinceAnnouncement(Time aNow) const;
  void DeliverOrForward(SteeredPacket& aSteered, const FlowPacket& aPacket,
                        Time aNow);
  void FanOut(SteeredPacket& aSteered, const FlowPacket& aPacket);
  void Deliver(SteeredPacket& aSteered, const FlowPacket& aPacket,
               Table::Entry& aEntry, Time aNow);
  void DeliverNow(RequestScheduler::Packet& aPacket, Table::Entry& aEntry,
                  Time aNow);
  bool Hold(RequestScheduler::Packet& aPacket, const Flow& aFlow, Time aNow);
  bool MustWait(const RequestScheduler::Packet& aPacket, const Flow& aFlow,
                Time aNow);
  bool HoldsRequests(Time aNow) const;
  HostCondition LoadWithoutHeld() const;
  bool IsRejected(const WorkInProgress::Ended& aRequest) const;
  void OnHostData(Table::Entry& aEntry, const FlowPacket& aPacket, Time aNow);
  void DeliverHeld(RequestScheduler::HostEvent aEvent, Time aNow);
  void DeliverHeldOf(const FlowKey& aFlow, Time aNow);
  void DeliverAllHeld(Time aNow);
  void DeliverReleased(RequestScheduler::Released& aReleased, Time aNow);
  void ForwardSearch(SteeredPacket& aSteered, const FlowKey& aFlow);
  void Probe(SteeredPacket& aSteered, const FlowKey& aFlow);
  bool IsOpenHere(const Flow& aFlow, const FlowPacket& aPacket) const;
  bool IsOfThisFlow(const Flow& aFlow, const FlowPacket& aPacket) const;
  bool SaysNothingOf(const Flow& aFlow, const FlowPacket& aPacket) const;
  bool IsKnownElsewhere(const Flow& aFlow, const FlowPacket& aPacket) const;
  bool IsOfEarlierFlow(const Flow& aFlow, const FlowPacket& aPacket) const;
  void OnReturned(ByteView aBytes, const FlowPacket& aPacket, Time aNow);
  void RecordHostPacket(const FlowPacket& aPacket, Time aNow);
  void ReportLocation(Table::Entry& aEntry, const Address& aIngress);
  void SendReset(const FlowKey& aFlow, std::uint32_t aSequence);
  void Forget(const FlowKey& aFlow, Time aNow);
  void MarkNotHere(const FlowKey& aFlow, Time aNow);
  std::uint32_t AddPending(const SteeredPacket& aSteered, const FlowKey& aFlow);
  bool MayHoldUnknownFlows(Time aNow) const;
  bool HasMissedFlow(Time aNow) const;
  bool HasSeenAllFlows(Time aNow) const;
  FlowOutcome Lookup(const QueriedFlow& aFlow, Time aNow);
  void CountEvent(HostFlowEvent aEvent)
  {
    ++mCounts[static_cast<std::size_t>(aEvent)];
  }

  const Options mOptions;
  const PacketFormat& mFormat;
  HostFlowsOutput& mOutput;
  const FlowAdmission mAdmission;
  const Time mStartedAt;
  HostStatus mHostStatus;
  DrainLease mDrain;
  ColdRate mColdRate;
  /** How many new incarnations of the host were observed. */
  std::uint32_t mHostIncarnations = 0;
  Table mFlows;
  WorkInProgress mWork;
  RequestScheduler mScheduler;
  std::array<Pending, kMaxPending> mPending;
  std::uint32_t mNextTag = 1;
  ServiceTime mServiceTime;
  /** Delivery time of the first opening packet since the host last sent
   * anything; zero if there is none. */
  Time mUnansweredSince{};
  Time mLastAdmittedAt{};
  bool mLeaving = false;
  /** When a flow of the host last found no room in the table. */
  std::optional<Time> mMissedFlowAt;
  std::array<std::uint64_t, static_cast<std::size_t>(HostFlowEvent::Last) + 1>
    mCounts{};
};

} // namespace heatherplank
