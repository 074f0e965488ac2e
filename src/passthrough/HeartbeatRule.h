#pragma once

#include <chrono>

#include "include/heatherplank/Clock.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

/** Heartbeat interval of an agent of opaque flows. */
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

/** Selects the balancers that monitor an agent; balancers use the same rule.
 *
 * Keeps a node within its control budget of 25 KB/s. Heartbeats to one balancer
 * and the replies take some 400 bytes/s: 9.6 KB/s for 24 balancers, but 1 MB/s
 * for 2,600. With three monitors, one of them in another data centre, a host's
 * failure goes unnoticed only if all three fail with it.
 */
constexpr MonitorRule kMonitorRule{ .mCount = 3,
                                    .mMaxBalancersAllMonitor = 24 };

} // namespace heatherplank
