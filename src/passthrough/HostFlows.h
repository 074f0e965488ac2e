#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/ColdRate.h"
#include "src/passthrough/DrainLease.h"
#include "src/passthrough/FlowAdmission.h"
#include "src/passthrough/HostAnnouncement.h"
#include "src/passthrough/HostLife.h"
#include "src/passthrough/InventoryMessages.h"
#include "src/passthrough/NewBytes.h"
#include "src/passthrough/PacketFormat.h"
#include "src/passthrough/ServiceTime.h"
#include "src/passthrough/SteerMessages.h"
#include "src/passthrough/WorkInProgress.h"
#include "src/steer/BoundedTable.h"

namespace heatherplank {

/** What an agent measures of its host. */
enum class HostTiming : std::uint8_t
{
  /** From an opening packet to the host's answer. */
  Opening,
  /** From a request's last packet to the first of its answer. */
  Answer,
};

/** Where the decisions of HostFlows go. Called under no lock of its own. */
class HostFlowsOutput
{
public:
  virtual ~HostFlowsOutput() = default;

  virtual void ToHost(ByteView aPacket) = 0;
  /** aCaller: the caller's end of the flow. */
  virtual void ToCaller(const Address& aCaller, ByteView aPacket) = 0;
  /** To another agent, or with NotHere back to a balancer. */
  virtual void Steer(const Address& aTo, const SteeredPacket& aPacket) = 0;
  virtual void Report(const Address& aBalancer,
                      const PlacementReport& aReport) = 0;
  virtual void Measured(HostTiming aTiming, Duration aTook) = 0;
};

/** What happened to packets and flows; each is counted. */
enum class HostFlowEvent : std::uint8_t
{
  Placed,
  PassedOn,
  SentToBest,
  Refused,
  RefusedOtherService,
  Delivered,
  Searched,
  Probed,
  Bounced,
  FlowLost,
  SearchEnded,
  NotHere,
  TableFull,
  Malformed,
  Answered,
  Last = Answered,
};

std::string_view ToString(HostFlowEvent aEvent);

/** Guards of HostFlows. All are on in production; tests switch one off to see
 * the failure that it guards against. */
struct HostFlowGuards
{
  /** Refuses packets for another service than the host's. */
  bool mCheckService = true;
  /** Looks at what a caller acknowledges before a flow counts as open here. */
  bool mMatchAcknowledged = true;
  /** After a restart asks the host about flows that it may hold. */
  bool mAskUnknown = true;
  /** Takes no new flow until the host was heard. */
  bool mHearFirst = true;
};

/** The flows of one host, as its agent knows them: which the host holds, and
 * how much work they are. Takes new flows or passes them on, delivers packets
 * of flows that the host holds, and lets no other packet reach the host but
 * to ask whether it holds the flow.
 *
 * The host is the only truth on what it holds; the table here is what was seen
 * of it in both directions. An agent that restarted asks the host about flows
 * that it does not know by delivering the packet: a host returns what it does
 * not hold. Pure; not thread safe.
 */
class HostFlows
{
public:
  struct Options
  {
    HostId mHost;
    /** Where other agents and balancers reach this agent. */
    Address mSelf;
    ServiceId mService;
    /** Flows remembered at most. */
    std::size_t mMaxFlows = 16384;
    /** Flows that are older may be forgotten; for this long after the start
     * there may be flows from before it. */
    Duration mFlowsLastFor = std::chrono::seconds(60);
    /** Without an announcement for this long the host counts as silent. */
    Duration mSilentAfter = std::chrono::milliseconds(3600);
    FlowAdmission::Options mAdmission;
    HostFlowGuards mGuards;
  };

  /** aFormat and aOutput must outlive it. */
  HostFlows(const Options& aOptions, const PacketFormat& aFormat,
            HostFlowsOutput& aOutput, Time aNow);

  /** A packet from a balancer or another agent. */
  void OnSteered(SteeredPacket aSteered, Time aNow);

  /** A packet that the host sent or returned. */
  void OnHostPacket(ByteView aPacket, Time aNow);

  AnnouncementEffect OnAnnouncement(const HostAnnouncement& aIt, Time aNow);

  /** A balancer says that the data centre is drained. */
  void OnDrainNotice(const DrainNotice& aNotice, Time aNow);

  /** This agent stops soon: new flows go elsewhere from now on. */
  void Leave() { mLeaving = true; }

  /** Call it some ten times a second. */
  void OnTick(Time aNow);

  const HostLife& Host() const { return mLife; }
  HostCondition Condition(Time aNow) const;
  /** Whether the operator drains the data centre: the host gets no new flow. */
  bool IsDrained(Time aNow) const { return mDrain.IsDrained(aNow); }
  std::size_t Size() const { return mFlows.Size(); }
  std::uint64_t Count(HostFlowEvent aEvent) const
  {
    return mCounts[static_cast<std::size_t>(aEvent)];
  }

private:
  /** Flows that are being opened count as work for as long as a caller takes to
   * send its request: a round trip, some 10 ms, and what slow balancers add. Of
   * those that were offered to two hosts one never opens. Counted for 300 ms
   * each they filled the slots of idle hosts, whose refusals brought more
   * copies. */
  static constexpr Duration kOpenWithin = std::chrono::milliseconds(50);

  enum class Stage : std::uint8_t
  {
    /** The host returned a packet of the flow: it does not hold it, and will
     * not unless an opening packet comes.
     *
     * Failure met: while the agent of a flow's host restarts, the caller's
     * repeats are searched for, and each of them reaches the hosts of all
     * agents that restarted before. Shown by packets of an open flow that
     * arrive at other hosts again and again. A host is asked once. */
    NotHere,
    /** The opening packet went to the host. */
    Offered,
    /** The host answered it; the caller may still open the flow elsewhere. */
    Answered,
    /** The caller acknowledged this host's answer, or the host sent data. */
    Open,
  };
  struct Flow
  {
    Stage mStage = Stage::Offered;
    /** The host's first sequence; what the caller acknowledges tells at which
     * host it opened the flow. */
    std::uint32_t mHostSequence = 0;
    bool mHostSequenceKnown = false;
    /** mHostLives as the host answered. */
    std::uint32_t mHostLife = 0;
    /** The host ended its direction, or either end reset the flow: no request
     * begins any more. */
    bool mFinished = false;
    NewBytes mFromCaller;
    /** The balancer that was told last where the flow is. */
    Address mTold;
  };
  using Table = BoundedTable<Flow>;
  /** What to do with a packet that the host returns. */
  struct Pending
  {
    std::uint32_t mTag = 0;
    FlowKey mFlow;
    SteeredPacket mSteered;
  };
  /** Packets under way to the host that may come back within a round trip on
   * one machine, a millisecond at most; a few thousand packets a second. */
  static constexpr std::size_t kMostPending = 256;

  void Place(SteeredPacket& aSteered, const FlowPacket& aPacket, Time aNow);
  HostCondition ConditionFor(const SteeredPacket& aSteered, Time aNow) const;
  bool MayBeCold(Time aNow) const;
  void PlaceKnown(SteeredPacket& aSteered, const FlowPacket& aPacket,
                  Table::Entry& aEntry, Time aNow);
  void Take(SteeredPacket& aSteered, const FlowPacket& aPacket, Time aNow);
  void PassPlacementOn(SteeredPacket& aSteered, const FlowKey& aFlow,
                       Time aNow);
  void Refuse(const SteeredPacket& aSteered, const FlowKey& aFlow, Time aNow);
  /** Age of the host's last word in ms, for logs; -1 if there is none. */
  std::int64_t HeardAgo(Time aNow) const;
  void Continue(SteeredPacket& aSteered, const FlowPacket& aPacket, Time aNow);
  void FanOut(SteeredPacket& aSteered, const FlowPacket& aPacket);
  void Deliver(SteeredPacket& aSteered, const FlowPacket& aPacket,
               Table::Entry& aEntry, Time aNow);
  void PassSearchOn(SteeredPacket& aSteered, const FlowKey& aFlow);
  void Probe(SteeredPacket& aSteered, const FlowKey& aFlow);
  bool IsOpenHere(Flow& aFlow, const FlowPacket& aPacket) const;
  void OnBounced(ByteView aBytes, const FlowPacket& aPacket, Time aNow);
  void FromHost(const FlowPacket& aPacket, Time aNow);
  void Tell(Table::Entry& aEntry, const Address& aIngress);
  void Reset(const FlowKey& aFlow, std::uint32_t aSequence);
  void Forget(const FlowKey& aFlow, Time aNow);
  std::uint32_t Remember(const SteeredPacket& aSteered, const FlowKey& aFlow);
  bool MayHoldUnknown(Time aNow) const;
  void Add(HostFlowEvent aEvent)
  {
    ++mCounts[static_cast<std::size_t>(aEvent)];
  }

  const Options mOptions;
  const PacketFormat& mFormat;
  HostFlowsOutput& mOutput;
  const FlowAdmission mAdmission;
  const Time mStartedAt;
  HostLife mLife;
  DrainLease mDrain;
  ColdRate mColdRate;
  /** Lives of the host that were seen to begin. */
  std::uint32_t mHostLives = 0;
  Table mFlows;
  WorkInProgress mWork;
  std::array<Pending, kMostPending> mPending;
  std::uint32_t mNextTag = 1;
  ServiceTime mServiceTime;
  /** When the oldest opening packet was delivered that no packet of the host
   * came after; zero if none. */
  Time mUnansweredSince{};
  Time mTriedAt{};
  bool mLeaving = false;
  std::array<std::uint64_t, static_cast<std::size_t>(HostFlowEvent::Last) + 1>
    mCounts{};
};

} // namespace heatherplank
