#pragma once

#include <vector>

#include "include/heatherplank/Member.h"
#include "src/membership/BalancerMembership.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/InventoryExchange.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PastServiceExchange.h"

namespace heatherplank {

/** Functions that convert the settings of a balancer of opaque flows to the
 * options of its components. All are thread safe. */

/** Describes this balancer as a member, with a new incarnation at each call. */
Member MakeSelf(const FlowBalancerSettings& aSettings);
BalancerMembershipOptions MakeMembershipOptions(
  const FlowBalancerSettings& aSettings);
FlowSteering::Options MakeSteeringOptions(const FlowBalancerSettings& aSettings,
                                          const Member& aSelf);
InventoryWatch::Options MakeWatchOptions(const FlowBalancerSettings& aSettings,
                                         const Member& aSelf);
DrainWatch::Options MakeDrainOptions(const FlowBalancerSettings& aSettings,
                                     const Member& aSelf);
InventoryPeers::Options MakePeerOptions(const FlowBalancerSettings& aSettings,
                                        const Member& aSelf);
PastServiceExchange::Options MakePastServiceOptions(
  const FlowBalancerSettings& aSettings, const Member& aSelf);
StoreWatcherSelection::Options MakeWatcherSelectionOptions(
  const FlowBalancerSettings& aSettings, const Member& aSelf, Time aNow);

} // namespace heatherplank
