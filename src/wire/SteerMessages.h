#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/StoreVersion.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** What the receiver of a steered packet does with it. */
enum class SteerPurpose : std::uint8_t
{
  /** The packet opens a flow: accept it or forward it to a less loaded host. */
  Place = 0,
  /** The sender believes that the receiver's host holds the flow. */
  Deliver = 1,
  /** Deliver the packet if the host holds the flow, else forward it. */
  Search = 2,
  /** Sent back to mIngress, by an agent whose host does not hold the flow or by
   * a record replica that has no record of it. */
  NotHere = 3,
  /** A Search that the receiver splits into concurrent SearchPaths. */
  FanOut = 4,
  /** A balancer asks the receiver, a record replica of the flow, to forward the
   * packet to the flow's host. mCandidates are the other replicas. */
  Locate = 5,
  /** Deliver, from a record replica: the agent always reports the flow's host
   * to mIngress, which does not know it. */
  Located = 6,
  Last = Located,
};

/** A packet of an opaque flow, forwarded between balancers and agents. */
struct SteeredPacket
{
  ServiceId mService;
  SteerPurpose mPurpose = SteerPurpose::Place;
  Importance mImportance = Importance::Normal;
  /** The sender found no less loaded host: accept the flow or refuse it. */
  bool mIsLastOffer = false;
  Duration mLatencyTarget{};
  /** The balancer that received the packet from the caller; agents report the
   * host of the flow to it. */
  Address mIngress;
  /** Hosts still to be tried, best first. */
  std::vector<Address> mCandidates;
  /** The host with the shortest wait among those that forwarded the packet. */
  Address mBest;
  Duration mBestWait{};
  /** Version of the drained data centres that the balancer knows. */
  StoreVersion mDrainsVersion;
  /** New flows a second for a cold host of the service; 0: unlimited. */
  double mColdRate = 0;
  /** The original packet. */
  Bytes mPacket;
};

/** How an attempt to place a flow ended. */
enum class PlacementOutcome : std::uint8_t
{
  /** The host answered the opening packet, or carries the flow. */
  Placed = 0,
  /** No host can serve the flow in time; the caller may be sent a reset. */
  Refused = 1,
};

/** An agent's report to a balancer on the placement of a flow. */
struct PlacementReport
{
  FlowKey mFlow;
  HostId mHost;
  PlacementOutcome mOutcome = PlacementOutcome::Placed;
};

} // namespace heatherplank
