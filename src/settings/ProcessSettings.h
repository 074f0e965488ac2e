#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Settings that all kinds of process share. */
struct ProcessSettings
{
  /** Unique name; the name of an agent is that of its host. */
  std::string mName;
  std::string mDataCentre;
  /** UDP: packets, and messages of heatherplank processes. */
  Address mTunnel;
  /** TCP: control connections of heatherplank processes. */
  Address mControl;
  /** HTTP: metrics, health, administration. */
  Address mAdmin;
  /** HTTP: the platform's object API. */
  Address mPlatform;
  /** Worker threads. */
  std::uint32_t mThreads = 1;
  /** File with the tokens of the administration API; empty: no API. */
  std::string mTokenFile;
  /** Also log the normal processing of flows and requests, not only the events
   * that explain a failure. */
  bool mLogFlows = true;
};

/** Settings of a balancer. */
struct BalancerSettings : ProcessSettings
{
  /** Control addresses of other balancers, which report further ones. */
  std::vector<Address> mPeers;
  /** Maximum number of cached flow owners; bounded, as hints may be lost. */
  std::uint32_t mMaxHints = 100000;
};

/** Settings of an agent. */
struct AgentSettings : ProcessSettings
{
  std::string mService;
  /** Control addresses of balancers. */
  std::vector<Address> mBalancers;
  /** Address at which the backend server listens. */
  Address mBackend;
  std::uint16_t mSlots = 2;
  std::uint16_t mWeight = 100;
  /** Maximum number of flows that the agent owns. */
  std::uint32_t mMaxFlows = 50000;
  /** Maximum bytes of retained answers. */
  std::uint32_t mMaxAnswerBytes = 16777216;
  /** For this many ms after its start an agent can't confirm that the request
   * with an idempotency key never ran on its host: it may have, earlier. Must
   * exceed the longest deadline of a request that may not be repeated. */
  std::uint32_t mConfirmAfterMs = 120000;
  /** Maximum time that a planned stop waits for requests in progress, ms. */
  std::uint32_t mDrainTimeoutMs = 10000;
};

/** Reads a balancer's settings, JSON with comments; InvalidInput that lists
 * every fault with file, key, what was found and the remedy. Thread safe.
 */
Result<BalancerSettings> ReadBalancerSettings(const std::string& aFile);

/** Reads an agent's settings; as ReadBalancerSettings. */
Result<AgentSettings> ReadAgentSettings(const std::string& aFile);

/** The same from text; aFile names it in messages. */
Result<BalancerSettings> ParseBalancerSettings(std::string_view aText,
                                               const std::string& aFile);
Result<AgentSettings> ParseAgentSettings(std::string_view aText,
                                         const std::string& aFile);

} // namespace heatherplank
