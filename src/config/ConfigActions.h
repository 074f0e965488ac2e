#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/StoreVersion.h"
#include "src/config/ConfigMessages.h"

namespace heatherplank {

/** Sends a message to a balancer or an agent; it may be lost. */
struct ConfigSend
{
  HostId mTo;
  ConfigMessage mMessage;
};

/** Watches the object config_keys::kHead for a version above mAfter, for at
 * most mWait; the result is passed to OnWatched. */
struct ConfigWatch
{
  StoreVersion mAfter;
  Duration mWait{};
};

/** Reads a part from the platform; the result is passed to OnFetched. */
struct ConfigFetch
{
  PartHash mHash;
  std::string mKey;
};

/** This configuration came into force. */
struct ConfigInForce
{
  ConfigurationPtr mConfiguration;
};

using ConfigAction =
  std::variant<ConfigSend, ConfigWatch, ConfigFetch, ConfigInForce>;

/** Counts of refused versions and retried requests by reason, and of calls to
 * the platform; exported as metrics. */
struct ConfigCounters
{
  /** Offers or heads of an older version than the one in force. */
  std::uint64_t mRefusedOlder = 0;
  /** Offers or heads with the version in force but different content. */
  std::uint64_t mRefusedDifferent = 0;
  /** Versions that failed validation after their transfer. */
  std::uint64_t mRefusedInvalid = 0;
  /** Heads that cannot be parsed. */
  std::uint64_t mRefusedMalformed = 0;
  /** Requests retried at another balancer after a timeout. */
  std::uint64_t mRetriedRequests = 0;
  /** Calls to the platform: all, and those that failed. */
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformFailures = 0;
  std::uint64_t mAdopted = 0;
};

} // namespace heatherplank
