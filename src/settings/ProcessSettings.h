#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** What both kinds of process are told at their start. */
struct ProcessSettings
{
  /** Unique name; an agent's is that of its host. */
  std::string mName;
  std::string mDataCentre;
  /** UDP: packets and messages of our own processes. */
  Address mTunnel;
  /** TCP: control connections of our own processes. */
  Address mControl;
  /** HTTP: metrics, health, administration. */
  Address mAdmin;
  /** The platform's object API. */
  Address mPlatform;
  /** Worker threads. */
  std::uint32_t mThreads = 1;
  /** File with the tokens of the administration API; empty: no API. */
  std::string mTokenFile;
  /** Log the ordinary course of flows and requests too, not only what explains
   * a failure. */
  bool mLogFlows = true;
};

/** Settings of a balancer. */
struct BalancerSettings : ProcessSettings
{
  /** Control addresses of other balancers; more are learnt from them. */
  std::vector<Address> mPeers;
  /** Flows whose owner it remembers; a bound, since hints may be lost. */
  std::uint32_t mMaxHints = 100000;
};

/** Settings of an agent. */
struct AgentSettings : ProcessSettings
{
  std::string mService;
  /** Control addresses of balancers. */
  std::vector<Address> mBalancers;
  /** Where the backend server listens. */
  Address mBackend;
  std::uint16_t mSlots = 2;
  std::uint16_t mWeight = 100;
  /** Flows that it owns at most. */
  std::uint32_t mMaxFlows = 50000;
  /** Bytes of answers that it keeps at most. */
  std::uint32_t mMaxAnswerBytes = 16777216;
  /** An agent younger than this can't say that a key never ran on its host: it
   * may have in an earlier life. Above the longest deadline of a request that
   * may not be repeated, ms. */
  std::uint32_t mVouchAfterMs = 120000;
  /** Longest time that a planned stop waits for requests in progress, ms. */
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
