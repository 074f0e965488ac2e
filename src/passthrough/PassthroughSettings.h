#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** What both kinds of process of the pass-through path are told. */
struct PassthroughSettings : ProcessSettings
{
  /** Control addresses of balancers to begin with; more are learnt. */
  std::vector<Address> mSeeds;
  /** Seeds take control connections at this port, whatever port is listed; 0:
   * at the listed one. */
  std::uint16_t mSeedPort = 0;
  /** The kind of the store's objects under which balancers are found by those
   * that their seeds lead nowhere; empty: no such objects. */
  std::string mDirectory;
  /** Packets to callers go to this port of the caller's machine, taken from the
   * address at the key "caller_port_of"; 0: to the port of the flow itself. */
  std::uint16_t mCallerPort = 0;
  /** HTTP: metrics alone, beside the admin port; none if it is not set. */
  Address mMetrics;
  /** Flows that are older may be forgotten, s. */
  std::uint32_t mFlowsLastS = 60;
  /** Experiments only: the admin port takes /fault/cut and /fault/heal. */
  bool mFaultInjection = false;
  /** Experiments only: added to the time of day, ms, as by a wrong clock. */
  std::int64_t mClockOffsetMs = 0;
};

/** A balancer of opaque flows. */
struct FlowBalancerSettings : PassthroughSettings
{
  /** UDP: packets of callers. */
  Address mIngress;
  /** The store's key of the routes. */
  std::string mRoutesKey;
  /** The kind of the store's objects that are named after the data centres that
   * the operator drains; empty: none is ever drained. */
  std::string mDrains;
  /** Flows whose host it remembers; a bound, since hints may be lost. */
  std::uint32_t mMaxHints = 65536;
  /** What this machine's link carries, Mbit/s; documents to other balancers
   * take a share of it. */
  double mLinkMbps = 1000;
  /** Routes that the operator changed are in force everywhere within this, ms.
   */
  std::uint32_t mRoutesInForceWithinMs = 3000;
  /** The same for drains, ms. */
  std::uint32_t mDrainsInForceWithinMs = 3000;
};

/** The agent beside a host of opaque flows. */
struct FlowAgentSettings : PassthroughSettings
{
  std::string mService;
  /** UDP: where the host takes packets. */
  Address mHostInbox;
  /** UDP: where the host sends packets to. */
  Address mHostOutbox;
  /** HTTP: where the host announces itself. */
  Address mHostCalls;
  /** How often the host announces itself, ms. */
  std::uint32_t mHostHeartbeatMs = 1200;
  /** Flows that it remembers at most. */
  std::uint32_t mMaxFlows = 16384;
};

/** Read settings, JSON with comments; InvalidInput that lists every fault with
 * file, key, what was found and the remedy. Thread safe. */
Result<FlowBalancerSettings> ReadFlowBalancerSettings(const std::string& aFile);
Result<FlowAgentSettings> ReadFlowAgentSettings(const std::string& aFile);

/** The same from text; aFile names it in messages. */
Result<FlowBalancerSettings> ParseFlowBalancerSettings(
  std::string_view aText, const std::string& aFile);
Result<FlowAgentSettings> ParseFlowAgentSettings(std::string_view aText,
                                                 const std::string& aFile);

} // namespace heatherplank
