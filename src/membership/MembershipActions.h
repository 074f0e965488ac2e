#pragma once

#include <variant>

#include "include/heatherplank/Types.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

using MembershipMessage = std::variant<Heartbeat, MemberDelta, MemberDigest,
                                       MemberSnapshotRequest, MemberSnapshot>;

/** Send a message to a control address; it may be lost. */
struct SendMembership
{
  Address mTo;
  MembershipMessage mMessage;
};

} // namespace heatherplank
