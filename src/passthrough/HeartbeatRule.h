#pragma once

#include <chrono>

#include "include/heatherplank/Clock.h"
#include "src/membership/Monitors.h"

namespace heatherplank {

/** How often an agent of opaque flows beats to its monitors. */
constexpr Duration kHeartbeatEvery = std::chrono::milliseconds(500);

/** To whom it beats; balancers go by the same rule.
 *
 * Protects the control budget of a node, 25 KB/s: a heartbeat and its answer
 * are some 400 bytes a second, so 24 balancers cost an agent 9.6 KB/s, and all
 * of 2,600 would cost it a megabyte. Three monitors lose a host's death only if
 * all three die with it, one of them in another data centre.
 */
constexpr MonitorRule kMonitorRule{ .mCount = 3, .mAllUpTo = 24 };

} // namespace heatherplank
