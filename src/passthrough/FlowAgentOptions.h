#pragma once

#include <vector>

#include "include/heatherplank/Member.h"
#include "src/membership/AgentMembership.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/PassthroughSettings.h"

namespace heatherplank {

/** Functions that convert the settings of an agent of opaque flows to the
 * options of its components. All are thread safe. */

/** Describes this agent's host as a member, with a new incarnation at each
 * call. */
Member MakeSelf(const FlowAgentSettings& aSettings);
AgentMembershipOptions MakeMembershipOptions(std::vector<Address> aSeeds);
HostFlows::Options MakeFlowOptions(const FlowAgentSettings& aSettings,
                                   const Member& aSelf);

} // namespace heatherplank
