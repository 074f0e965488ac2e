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

/** Settings common to the balancers and agents of the pass-through path. */
struct PassthroughSettings : ProcessSettings
{
  /** Control addresses of balancers to contact first; more are discovered. */
  std::vector<Address> mSeeds;
  /** Replaces the port of every seed; 0: each seed's listed port is used. */
  std::uint16_t mSeedPort = 0;
  /** The kind of the store's objects that register balancers, for processes
   * whose seeds are all unreachable; empty: no directory. */
  std::string mDirectory;
  /** Port to which packets to callers are sent, taken from the address at the
   * key "caller_port_of"; 0: the caller's port of the flow. */
  std::uint16_t mCallerPort = 0;
  /** HTTP address that serves only metrics, in addition to the admin port; none
   * if it is not set. */
  Address mMetrics;
  /** Flows older than this may be removed, s. */
  std::uint32_t mFlowsLastS = 60;
  /** Experiments only: the admin port accepts /fault/cut and /fault/heal. */
  bool mFaultInjection = false;
  /** Experiments only: added to the time of day, as by a wrong clock, ms. */
  std::int64_t mClockOffsetMs = 0;
};

/** A balancer of opaque flows. */
struct FlowBalancerSettings : PassthroughSettings
{
  /** UDP: receives callers' packets. */
  Address mIngress;
  /** The store's key of the routes. */
  std::string mRoutesKey;
  /** The kind of the store's objects whose names are the data centres that the
   * operator drains; empty: drains are disabled. */
  std::string mDrains;
  /** Maximum number of flows whose host is cached as a hint. The cache may be
   * bounded, since hints may be lost. */
  std::uint32_t mMaxHints = 65536;
  /** Capacity of this VM's link, Mbit/s; documents to other balancers use a
   * share of it. */
  double mLinkMbps = 1000;
  /** Time within which changed routes must be in force on all balancers, ms. */
  std::uint32_t mRoutesInForceWithinMs = 3000;
  /** The same for drains, ms; if not set, the value of the routes. */
  std::uint32_t mDrainsInForceWithinMs = mRoutesInForceWithinMs;
};

/** The agent beside a host of opaque flows. */
struct FlowAgentSettings : PassthroughSettings
{
  std::string mService;
  /** UDP: where the host receives packets. */
  Address mHostInbox;
  /** UDP: where the host sends packets to. */
  Address mHostOutbox;
  /** HTTP: receives the host's announcements and other calls. */
  Address mHostCalls;
  /** Interval of the host's announcements, ms. */
  std::uint32_t mHostHeartbeatMs = 1200;
  /** Maximum number of flows that the agent tracks. */
  std::uint32_t mMaxFlows = 16384;
  /** Holds requests on open flows while the host has no free slot, and delivers
   * the most important ones first. */
  bool mScheduleRequests = true;
};

/** Read settings from a file, JSON with comments. Errors: InvalidInput that
 * lists every fault with file, key, the value found and the remedy. Thread
 * safe. */
Result<FlowBalancerSettings> ReadFlowBalancerSettings(const std::string& aFile);
Result<FlowAgentSettings> ReadFlowAgentSettings(const std::string& aFile);

/** The same from text; aFile is the name used in messages. */
Result<FlowBalancerSettings> ParseFlowBalancerSettings(
  std::string_view aText, const std::string& aFile);
Result<FlowAgentSettings> ParseFlowAgentSettings(std::string_view aText,
                                                 const std::string& aFile);

} // namespace heatherplank
