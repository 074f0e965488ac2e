#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Priority of a request; a request of higher importance is served first. */
enum class Importance : std::uint8_t
{
  Low = 0,
  Normal = 1,
  High = 2,
  Critical = 3,
};

/** Selects requests of a service and defines how they are handled. The first
 * matching rule of a service applies.
 */
struct Rule
{
  /** Name shown in reports, such as "claims". */
  std::string mName;
  /** HTTP method to match; empty matches any. */
  std::string mMethod;
  /** Path prefix to match; empty matches any. */
  std::string mPathPrefix;
  Importance mImportance = Importance::Normal;
  /** The request may run at most once. */
  bool mNeverRepeat = false;
  /** The request may be queued; once accepted, it is not lost. */
  bool mMayWait = false;
  /** Time limit for an answer if the caller states no deadline. */
  Duration mDeadline = std::chrono::seconds(2);
  /** Maximum number of queued requests of this rule at one host. */
  std::uint32_t mQueueLimit = 256;

  bool operator==(const Rule&) const = default;
};

/** A host that the inventory expects, identified by its name. */
struct ExpectedHost
{
  std::string mName;
  std::string mDataCentre;
  std::uint16_t mWeight = 100;

  bool operator==(const ExpectedHost&) const = default;
};

/** A service of the inventory. A slot is one concurrent request on a host. */
struct Service
{
  std::string mName;
  ServiceId mId;
  /** Addresses at which callers reach it; each belongs to one service only. */
  std::vector<Address> mAddresses;
  std::vector<ExpectedHost> mHosts;
  std::uint16_t mSlotsPerHost = 2;
  std::vector<Rule> mRules;

  bool operator==(const Service&) const = default;
};

/** Returns the first rule that matches a request, or null. Thread safe.
 */
const Rule* FindRule(const Service& aService, std::string_view aMethod,
                     std::string_view aTarget);

/** The balancing policy in force. */
struct PolicyChoice
{
  /** "random", "rendezvous", "two-choices" or "least-latency". */
  std::string mName = "two-choices";
  /** Weights of broken flows and of imbalance in the policy's score. */
  double mBrokenFlowsWeight = 1.0;
  double mImbalanceWeight = 1.0;

  bool operator==(const PolicyChoice&) const = default;
};

/** Inventory, rules and policy, accepted as one version. Immutable once
 * constructed; shared between threads through ConfigurationPtr.
 */
struct Configuration
{
  /** 0: no version yet. A version is replaced only by a higher one. */
  std::uint64_t mVersion = 0;
  std::vector<std::string> mDataCentres;
  std::map<ServiceId, Service> mServices;
  PolicyChoice mPolicy;
  /** Names of the hosts that the operator drains. */
  std::vector<std::string> mDrainedHosts;

  /** Returns the service at an address, or null. Thread safe. */
  const Service* FindByAddress(const Address& aAddress) const;
  /** Returns the service with an id, or null. Thread safe. */
  const Service* Find(ServiceId aId) const;

  /** Maps addresses to services; filled when the configuration is built. */
  std::map<Address, ServiceId> mByAddress;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace heatherplank
