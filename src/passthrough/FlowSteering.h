#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/balancer/ServiceViews.h"
#include "src/passthrough/CandidateOrder.h"
#include "src/passthrough/FlowInventory.h"
#include "src/passthrough/FlowSearches.h"
#include "src/passthrough/PacketFormat.h"
#include "src/passthrough/PlacementWatch.h"
#include "src/passthrough/SteerEvent.h"
#include "src/passthrough/SteerMessages.h"
#include "src/steer/HintCache.h"

namespace heatherplank {

/** Where the decisions of FlowSteering go. */
class FlowSteeringOutput
{
public:
  virtual ~FlowSteeringOutput() = default;

  virtual void Steer(const Address& aAgent, const SteeredPacket& aPacket) = 0;
  /** aCaller: the caller's end of the flow. */
  virtual void ToCaller(const Address& aCaller, ByteView aPacket) = 0;
  /** How long an opening packet took to find a host that answered it. */
  virtual void Placed(Duration aTook) = 0;
};

/** The balancer's decisions for packets of opaque flows. Holds nothing that
 * matters: routes and members are given to it, where a flow is may be
 * forgotten and is found again by asking the hosts in the flow's own order.
 * Pure; not thread safe.
 */
class FlowSteering
{
public:
  struct Options
  {
    /** Where agents reach this balancer. */
    Address mSelf;
    DataCentreId mDataCentre;
    /** Flows whose host is remembered. */
    std::size_t mMaxHints = 65536;
  };

  /** aFormat and aOutput must outlive it. */
  FlowSteering(const Options& aOptions, const PacketFormat& aFormat,
               FlowSteeringOutput& aOutput);

  void SetInventory(FlowInventoryPtr aInventory);

  /** Data centres were drained or taken back. Flows that are open at their
   * hosts stay; no opening packet goes there, not even the copy of one that
   * did, and where no other host is left callers are refused: what the operator
   * takes away is about to lose power. */
  void SetDrains(const DataCentreDrains& aDrains);
  void SetViews(std::span<const MemberViewPtr> aViews,
                std::span<const ServiceId> aServices);

  /** A packet of a caller. */
  void OnPacket(ByteView aDatagram, Time aNow);

  /** A packet that an agent gave back: it does not hold the flow. */
  void OnNotHere(SteeredPacket aSteered, Time aNow);

  void OnReport(const PlacementReport& aReport, Time aNow);

  /** This process did not run for a while. Call it before any packet that came
   * meanwhile.
   *
   * Failure met: an opening packet waited in the socket of a balancer that
   * stood still, and its caller opened the flow by a copy at another one. Taken
   * for a first offer, a refusal of it resets the open flow. So for a moment
   * every opening packet counts as a later copy. */
  void OnStandstill(Time aNow);

  /** This process has just started.
   *
   * Failure met: its former life offered a flow that is open by now; a copy of
   * the opening packet, doubled or late in the fabric, meets the new one, which
   * knows no host and resets the flow. Shown by a refusal some milliseconds
   * after a start. The former life's offers can't be known, so for a moment
   * every opening packet counts as a later copy. */
  void OnStart(Time aNow);

  /** Call it at NextAt, or later. */
  void OnTick(Time aNow);
  std::optional<Time> NextAt() const { return mWatch.NextAt(); }

  const FlowInventoryPtr& Inventory() const { return mInventory; }

  /** Hosts in view that take new flows. */
  std::size_t UsableHosts() const;

  std::uint64_t Count(SteerEvent aEvent) const
  {
    return mCounts[static_cast<std::size_t>(aEvent)];
  }

private:
  void TakeMembers();
  void LogChanges(const std::unordered_map<HostId, Member>& aBefore) const;
  void Open(const FlowPacket& aPacket, ByteView aDatagram, Time aNow);
  void Forward(const FlowPacket& aPacket, ByteView aDatagram, Time aNow);
  void SearchAll(const FlowKey& aFlow, const FlowRoute& aRoute,
                 SteeredPacket aSteered, std::uint64_t aHash, Time aNow);
  void Search(const FlowKey& aFlow, SteeredPacket aSteered, std::uint64_t aHash,
              std::uint32_t aEarlier, Time aNow);
  void DeliverFound(const PlacementReport& aReport);
  void Offer(const FlowKey& aFlow, SteeredPacket aSteered,
             std::vector<PlacementCandidate> aCandidates,
             PlacementWatch::Copy aCopy, Time aNow, int aRetries = 0);
  void RefuseOpen(const FlowKey& aFlow, SteerEvent aWhy);
  void RefuseQuietly(const FlowKey& aFlow, SteerEvent aWhy);
  void RefuseOrDrop(const FlowKey& aFlow, bool aIsLater, SteerEvent aWhy);
  const Member* HintedMember(std::uint64_t aHash);
  std::vector<PlacementCandidate> CandidatesFor(ServiceId aService,
                                                std::uint64_t aHash, Time aNow);
  OrderInputs Inputs(Time aNow) const;
  SteeredPacket MakeSteered(const FlowRoute* aRoute, ServiceId aService,
                            SteerPurpose aPurpose, ByteView aDatagram) const;
  /** 0 before any are known. */
  std::uint64_t RoutesVersion() const
  {
    return mInventory ? mInventory->mVersion : 0;
  }
  void Add(SteerEvent aEvent) { ++mCounts[static_cast<std::size_t>(aEvent)]; }

  const Options mOptions;
  const PacketFormat& mFormat;
  FlowSteeringOutput& mOutput;
  FlowInventoryPtr mInventory;
  DataCentreDrains mDrains;
  ServiceViews mViews;
  /** Every host in view, for hints. */
  std::unordered_map<HostId, Member> mMembers;
  HintCache mHints;
  PlacementWatch mWatch;
  FlowSearches mSearches;
  /** Until then packets may have waited for this process to run. */
  Time mStaleUntil{};
  /** Until then a service without hosts may have hosts that were not heard
   * yet. */
  Time mHearsUntil{};
  std::array<std::uint64_t, static_cast<std::size_t>(SteerEvent::Last) + 1>
    mCounts{};
};

} // namespace heatherplank
