#pragma once

#include <variant>

#include "include/heatherplank/Types.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

using MembershipMessage = std::variant<Heartbeat, MemberDelta, MemberDigest,
                                       MemberSnapshotRequest, MemberSnapshot>;

/** A message to send to a control address; delivery is not guaranteed. */
struct SendMembership
{
  Address mTo;
  MembershipMessage mMessage;
};

} // namespace heatherplank
