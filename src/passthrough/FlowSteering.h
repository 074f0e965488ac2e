#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/balancer/ServiceViews.h"
#include "src/passthrough/CandidateOrder.h"
#include "src/passthrough/FlowHint.h"
#include "src/passthrough/FlowInventory.h"
#include "src/passthrough/FlowLocations.h"
#include "src/passthrough/FlowQueries.h"
#include "src/passthrough/FlowSearches.h"
#include "src/passthrough/PacketFormat.h"
#include "src/passthrough/PastServiceRequests.h"
#include "src/passthrough/PlacementWatch.h"
#include "src/passthrough/RouteServices.h"
#include "src/passthrough/SteerEvent.h"
#include "src/steer/HintCache.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Receives the decisions of FlowSteering. */
class FlowSteeringOutput
{
public:
  virtual ~FlowSteeringOutput() = default;

  virtual void Steer(const Address& aAgent, const SteeredPacket& aPacket) = 0;
  virtual void Query(const Address& aAgent, const FlowQuery& aQuery) = 0;
  /** Sends a packet to the caller at the address aCaller. */
  virtual void ToCaller(const Address& aCaller, ByteView aPacket) = 0;
  virtual void SendRecords(const Address& aBalancer,
                           const FlowRecords& aRecords) = 0;
  /** A host answered an opening packet. aElapsed: time since its last offer, or
   * since PlacementWatch restarted the timeout of the offer. */
  virtual void Placed(Duration aElapsed) = 0;
};

/** Decides where a balancer forwards packets of opaque flows. All state is
 * soft: routes and members are supplied from outside, and the host of a
 * forgotten flow is found again by asking other balancers for its record (see
 * FlowLocations), or by FlowQueries.
 *
 * The packets come from the fabric, the network that spreads callers' packets
 * over the balancers. It may send the packets of an open flow to another
 * balancer at any time.
 *
 * No I/O or clock access; not thread safe. */
class FlowSteering : private FlowQueriesOutput
{
public:
  struct Options
  {
    /** Address at which agents reach this balancer. */
    Address mSelf;
    DataCentreId mDataCentre;
    /** Maximum number of flows whose host is cached. */
    std::size_t mMaxHints = 65536;
    /** This balancer's id, by which it is selected as a record replica. */
    HostId mHost;
    /** Lifetime of a flow. */
    Duration mFlowRetention = std::chrono::seconds(60);
    /** See FlowQueryRounds::Options. */
    std::uint32_t mFirstRound = 1;
    FlowQueryGuards mQueryGuards{};
  };

  /** aFormat and aOutput must outlive this object. */
  FlowSteering(const Options& aOptions, const PacketFormat& aFormat,
               FlowSteeringOutput& aOutput);

  void SetInventory(FlowInventoryPtr aInventory);

  /** See RouteVersions::HasMissed. Call before each OnTick(). */
  void SetHasMissedRoutes(bool aHasMissed)
  {
    mQueries.SetHasMissedRoutes(aHasMissed);
  }

  /** The services that routes have had. Lives as long as this object. */
  RouteServices& Services() { return mRouteServices; }

  /** How much Services() knows: see PastServiceRequests. Nothing until the
   * first call. Call before each OnTick(). */
  void SetKnownPast(KnownPast aKnown, Time aNow);

  /** Sets the drained data centres. Flows that are open in a drained data
   * centre stay there. No opening packet goes there, not even a copy of a
   * packet that was offered there before the drain. If no other host is left,
   * callers are refused, because a drained data centre is about to lose
   * power. */
  void SetDrains(const DataCentreDrains& aDrains);
  void SetViews(std::span<const MemberViewPtr> aViews,
                std::span<const ServiceId> aServices);

  /** Whether the views given by SetViews contain all hosts. Call after each
   * SetViews() and before each OnTick(). */
  void SetViewState(const HostViewState& aState)
  {
    mQueries.SetViewState(aState);
  }

  /** Handles a packet from a caller. */
  void OnPacket(ByteView aDatagram, Time aNow);

  /** Sets the other balancers in view, of any data centre. */
  void SetBalancers(std::span<const Member> aOthers);

  /** Sends the records that are due. Call about every 50 ms. */
  void SendRecords(Time aNow);

  /** Another balancer sent records of flows' hosts. */
  void OnRecords(const FlowRecords& aRecords);

  /** Another balancer asks this one, as a record replica, for a flow's host. */
  void OnLocate(SteeredPacket aSteered);

  /** An agent sent the packet back because its host does not hold the flow, or
   * a replica did because it has no record of the flow. */
  void OnReturned(const SteeredPacket& aSteered, Time aNow);

  void OnReport(const PlacementReport& aReport, Time aNow);

  void OnQueryReply(const FlowQueryReply& aReply, Time aNow)
  {
    mQueries.OnReply(aReply, aNow);
  }

  /** Call after a process stall, before passing in any packet that arrived
   * during the stall.
   *
   * Guards against: an opening packet waits in the socket of a stalled balancer
   * while its caller opens the flow through another balancer with a copy. If
   * the waiting packet counted as the first offer, its refusal would reset the
   * open flow. So every opening packet counts as a later copy for a short time
   * after the stall. */
  void OnProcessStall(Time aNow);

  /** Call once when the process has started.
   *
   * Guards against: the previous incarnation offered a flow that is open by
   * now, and a duplicated or delayed copy of the opening packet reaches the new
   * incarnation. It knows no host for the flow and resets it, some milliseconds
   * after its start. The offers of the previous incarnation are unknown, so
   * every opening packet counts as a later copy for a short time. */
  void OnStart(Time aNow);

  /** Call at NextAt() or later, and about every 50 ms. */
  void OnTick(Time aNow);
  std::optional<Time> NextAt() const;

  const FlowInventoryPtr& Inventory() const { return mInventory; }

  /** All hosts in view. */
  const std::unordered_map<HostId, Member>& Hosts() const { return mMembers; }

  /** Number of hosts in view that accept new flows. */
  std::size_t UsableHosts() const;

  std::uint64_t Count(SteerEvent aEvent) const
  {
    return mCounts[static_cast<std::size_t>(aEvent)];
  }

private:
  void UpdateMembers();
  void LogMemberChanges(
    const std::unordered_map<HostId, Member>& aBefore) const;
  void Open(const FlowPacket& aPacket, ByteView aDatagram, Time aNow);
  void Forward(const FlowPacket& aPacket, ByteView aDatagram, Time aNow);
  bool Locate(const FlowKey& aFlow, SteeredPacket aSteered);
  void OnNotLocated(const FlowKey& aFlow, SteerEvent aReason, Time aNow);
  void StoreHost(const PlacementReport& aReport, const SteeredPacket* aOffered,
                 Time aNow);
  void OnFlowEnded(std::uint64_t aFlowHash);
  void StartQuery(const FlowKey& aFlow, Time aNow);
  void SendQuery(const Address& aAgent, const FlowQuery& aQuery) override;
  void OnFound(const FlowKey& aFlow, HostId aHost, Time aNow) override;
  ProbeResult OnUndecided(const FlowKey& aFlow,
                          std::span<const Address> aHosts) override;
  bool MayHold(const FlowKey& aFlow, HostId aHost) const override;
  void OnHeldNowhere(const QueriedFlow& aFlow,
                     const NowhereEvidence& aEvidence) override;
  bool HasPendingOffer(const FlowKey& aFlow) const override;
  std::vector<HostId> LikelyHosts(const FlowKey& aFlow,
                                  std::size_t aLimit) const override;
  bool ResetIfHeldNowhere(const FlowPacket& aPacket, Time aNow);
  void SendReset(const QueriedFlow& aFlow);
  void DeliverFound(const FlowKey& aFlow, HostId aHost);
  void Offer(const FlowKey& aFlow, SteeredPacket aSteered,
             std::vector<PlacementCandidate> aCandidates,
             PlacementWatch::Copy aCopy, Time aNow, int aRetries = 0);
  void RefuseWithReset(const FlowKey& aFlow, SteerEvent aReason);
  void RefuseWithoutReset(const FlowKey& aFlow, SteerEvent aReason);
  void RefuseOrDrop(const FlowKey& aFlow, bool aIsLaterCopy,
                    SteerEvent aReason);
  std::optional<FlowHint> FindHint(std::uint64_t aHash);
  const Member* HintedMember(std::uint64_t aHash);
  const Member* HostOfCopy(const std::optional<FlowHint>& aHint,
                           std::uint32_t aOpening, ServiceId aService) const;
  std::vector<PlacementCandidate> CandidatesFor(ServiceId aService,
                                                std::uint64_t aHash, Time aNow);
  OrderInputs MakeOrderInputs(Time aNow) const;
  SteeredPacket MakeSteered(const FlowRoute* aRoute, ServiceId aService,
                            SteerPurpose aPurpose, ByteView aDatagram) const;
  /** 0 before any routes are known. */
  std::uint64_t RoutesVersion() const
  {
    return mInventory ? mInventory->mVersion : 0;
  }
  void Increment(SteerEvent aEvent, std::uint64_t aCount = 1)
  {
    mCounts[static_cast<std::size_t>(aEvent)] += aCount;
  }

  const Options mOptions;
  const PacketFormat& mFormat;
  FlowSteeringOutput& mOutput;
  FlowInventoryPtr mInventory;
  DataCentreDrains mDrains;
  ServiceViews mViews;
  /** All hosts in view, for looking up hints. */
  std::unordered_map<HostId, Member> mMembers;
  HintCache mHints;
  PlacementWatch mWatch;
  FlowSearches mSearches;
  FlowLocations mLocations;
  FlowQueries mQueries;
  RouteServices mRouteServices;
  KnownPast mKnownPast;
  /** Until this time after a start or stall, an opening packet may be a delayed
   * copy, and is treated as one. */
  Time mAssumeCopiesUntil{};
  /** Until this time hosts may not have been discovered yet, so an opening
   * packet for a service without hosts is dropped instead of refused. */
  Time mHostDiscoveryUntil{};
  std::array<std::uint64_t, static_cast<std::size_t>(SteerEvent::Last) + 1>
    mCounts{};
};

} // namespace heatherplank
