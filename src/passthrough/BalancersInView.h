#pragma once

#include <set>
#include <span>
#include <utility>

#include "include/heatherplank/Member.h"
#include "src/base/Log.h"

namespace heatherplank {

/** Tunnel addresses of the other balancers that this balancer believes alive.
 * Logs each balancer that is added or removed. Not thread safe. */
class BalancersInView
{
public:
  /** Returns true if the balancers have changed. */
  bool Set(std::span<const Member> aBalancers)
  {
    std::set<Address> present;
    for (const Member& it : aBalancers) {
      present.insert(it.mTunnel);
      if (!mAddresses.contains(it.mTunnel)) {
        LogEvent(LogLevel::Info, "balancer",
                 { { "address", it.mTunnel.ToString() },
                   { "incarnation", it.mIncarnation } });
      }
    }
    for (const Address& it : mAddresses) {
      if (!present.contains(it)) {
        LogEvent(LogLevel::Warning, "balancer_dropped",
                 { { "address", it.ToString() } });
      }
    }
    bool changed = present != mAddresses;
    mAddresses = std::move(present);
    return changed;
  }

  bool Contains(const Address& aTunnel) const
  {
    return mAddresses.contains(aTunnel);
  }

private:
  std::set<Address> mAddresses;
};

} // namespace heatherplank
