#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigMessages.h"

namespace heatherplank {

/** Send a message to a balancer or an agent; may be lost. */
struct ConfigSend
{
  HostId mTo;
  ConfigMessage mMessage;
};

/** Watch the object config_keys::kHead; its outcome goes to OnWatched. */
struct ConfigWatch
{
  std::uint64_t mAfter = 0;
  Duration mWait{};
};

/** Read a part from the platform; its outcome goes to OnFetched. */
struct ConfigFetch
{
  PartHash mHash;
  std::string mKey;
};

/** From now on this configuration is in force. */
struct ConfigInForce
{
  ConfigurationPtr mConfiguration;
};

using ConfigAction =
  std::variant<ConfigSend, ConfigWatch, ConfigFetch, ConfigInForce>;

/** What was refused or repeated, by reason; for the driver's counters. */
struct ConfigCounters
{
  /** Offers or heads of an older version than the one in force. */
  std::uint64_t mRefusedOlder = 0;
  /** The same version with another content. */
  std::uint64_t mRefusedDifferent = 0;
  /** Versions that failed the check of the whole. */
  std::uint64_t mRefusedInvalid = 0;
  /** Heads or entries that make no sense. */
  std::uint64_t mRefusedMalformed = 0;
  /** Requests sent again, to another balancer, for want of an answer. */
  std::uint64_t mRetriedRequests = 0;
  /** Calls of the platform: all, and those that failed. */
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformFailures = 0;
  std::uint64_t mAdopted = 0;
};

} // namespace heatherplank
