#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/DataCentreDrains.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A version of the routes. */
struct RecentVersion
{
  /** 0 stands for versions that are not listed. */
  std::uint64_t mVersion = 0;
  /** Time since it was last known to be in force at a balancer. */
  Duration mLastInForceAgo{};

  bool operator==(const RecentVersion&) const = default;
};

/** A service that a route has left. Flows that were open there stay there. */
struct PastService
{
  /** The address of the route. */
  Address mRoute;
  ServiceId mService;
  Duration mLeftAgo{};

  bool operator==(const PastService&) const = default;
};

/** Notifies a balancer of the version of the routes in force at the sender. */
struct InventoryNotice
{
  /** 0: none yet. */
  std::uint64_t mVersion = 0;
  /** Where the sender accepts control connections. */
  Address mControl;
  /** The sender requests the receiver's document, if it is newer. */
  bool mWantsDocument = false;
  /** The response to a document request that the sender can't serve now: the
   * receiver is to request the document from another balancer. */
  bool mIsBusy = false;
  /** Time since the store last confirmed, to any balancer, that no routes above
   * mVersion and no drains other than mDrains are in force; none if unknown. */
  std::optional<Duration> mConfirmedAgo;
  /** The drained data centres known to the sender. */
  DataCentreDrains mDrains;
  /** The newest era of the store (StoreVersion) known to the sender. */
  std::uint64_t mStoreEra = 0;
  /** The versions that were in force at any balancer within the lifetime of a
   * flow, as far as the sender knows: see RouteVersions. */
  std::vector<RecentVersion> mVersions{};
  /** Some of the services that routes have left. Received from balancers of the
   * previous release; later ones send PastServices. */
  std::vector<PastService> mPastServices{};
};

/** Asks a balancer or an agent for its PastServices. */
struct PastServicesRequest
{
  /** Control address to which the answer goes. */
  Address mSender;
};

/** All services that routes have left within the lifetime of a flow, as far as
 * the sender knows: see RouteServices. One message carries the whole list, so
 * that its receiver knows when it has heard all. */
struct PastServices
{
  /** The only service that the list covers; none if it covers all. */
  ServiceId mService;
  /** Version of the routes in force at a balancer; 0 from an agent. */
  std::uint64_t mVersion = 0;
  /** For how long the sender, or those from whom it has the list, have followed
   * the routes without a gap. */
  Duration mKnownFor{};
  std::vector<PastService> mServices;
};

/** Notifies an agent that its data centre is drained. */
struct DrainNotice
{
  /** DataCentreDrains::mVersion. */
  StoreVersion mVersion;
};

/** The routes document, as written by the operator's tools. */
struct InventoryDocument
{
  std::uint64_t mVersion = 0;
  /** The compressed text (src/base/Compression.h). */
  Bytes mPacked;
};

} // namespace heatherplank
