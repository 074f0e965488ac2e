#pragma once

#include "include/heatherplank/Types.h"
#include "src/wire/MembershipMessages.h"

namespace heatherplank {

/** A message to send to a control address; delivery is not guaranteed. */
struct SendMembership
{
  Address mTo;
  MembershipMessage mMessage;
};

} // namespace heatherplank
