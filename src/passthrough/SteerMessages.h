#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** What the receiver of a steered packet is asked to do. */
enum class SteerPurpose : std::uint8_t
{
  /** The packet opens a flow: take it, or pass it on to a freer host. */
  Place = 0,
  /** The sender believes that the receiver's host holds the flow. */
  Deliver = 1,
  /** Find the flow's host: deliver it, or pass it on. */
  Search = 2,
  /** Back to the balancer: the receiver of a Deliver does not hold the flow. */
  NotHere = 3,
  /** A Search that the receiver splits into walks side by side. */
  FanOut = 4,
  Last = FanOut,
};

/** A packet of an opaque flow on its way between our processes. */
struct SteeredPacket
{
  ServiceId mService;
  SteerPurpose mPurpose = SteerPurpose::Place;
  Importance mImportance = Importance::Normal;
  /** The sender found no freer host: refuse it or take it. */
  bool mMustTake = false;
  Duration mLatencyTarget{};
  /** The balancer that took the packet in, which is told where the flow is. */
  Address mIngress;
  /** Hosts that are still to be tried, best first. */
  std::vector<Address> mCandidates;
  /** The host with the shortest wait of those that passed the packet on. */
  Address mBest;
  Duration mBestWait{};
  /** As of which version the balancer knows the drained data centres. */
  std::uint64_t mDrainsVersion = 0;
  /** New flows a second that a cold host of the service bears; 0: no bound. */
  double mColdRate = 0;
  /** The packet as its sender wrote it. */
  Bytes mPacket;
};

/** How an attempt to place a flow ended. */
enum class PlacementOutcome : std::uint8_t
{
  /** The host answered the opening packet, or carries the flow. */
  Placed = 0,
  /** No host can serve it in time; the balancer tells the caller if it may. */
  Refused = 1,
};

/** An agent's word to a balancer on where a flow is. */
struct PlacementReport
{
  FlowKey mFlow;
  HostId mHost;
  PlacementOutcome mOutcome = PlacementOutcome::Placed;
};

} // namespace heatherplank
