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

/** How much a request matters; a larger one goes first. */
enum class Importance : std::uint8_t
{
  Low = 0,
  Normal = 1,
  High = 2,
  Critical = 3,
};

/** A rule on top of a service: which requests it meets, how they are treated.
 * The first rule of a service that matches applies.
 */
struct Rule
{
  /** A name for reports ("claims"). */
  std::string mName;
  /** HTTP method that it meets; empty for any. */
  std::string mMethod;
  /** Prefix of the path that it meets; empty for any. */
  std::string mPathPrefix;
  Importance mImportance = Importance::Normal;
  /** The request may run at most once. */
  bool mNeverRepeat = false;
  /** The request may wait; once accepted it is not lost. */
  bool mMayWait = false;
  /** Longest wait for an answer when the caller states no deadline. */
  Duration mDeadline = std::chrono::seconds(2);
  /** Most requests of this rule that wait at one host. */
  std::uint32_t mQueueLimit = 256;

  bool operator==(const Rule&) const = default;
};

/** A host that the inventory expects, by name. */
struct ExpectedHost
{
  std::string mName;
  std::string mDataCentre;
  std::uint16_t mWeight = 100;

  bool operator==(const ExpectedHost&) const = default;
};

/** A service of the inventory. */
struct Service
{
  std::string mName;
  ServiceId mId;
  /** Addresses at which callers reach it. No address has two services. */
  std::vector<Address> mAddresses;
  std::vector<ExpectedHost> mHosts;
  std::uint16_t mSlotsPerHost = 2;
  std::vector<Rule> mRules;

  bool operator==(const Service&) const = default;
};

/** The rule that a request meets: the first that matches, or null. Thread safe.
 */
const Rule* FindRule(const Service& aService, std::string_view aMethod,
                     std::string_view aTarget);

/** The balancing policy in force. */
struct PolicyChoice
{
  /** "random", "rendezvous", "two-choices" or "least-latency". */
  std::string mName = "two-choices";
  /** Weights of the score: broken flows against imbalance. */
  double mBrokenFlowsWeight = 1.0;
  double mImbalanceWeight = 1.0;

  bool operator==(const PolicyChoice&) const = default;
};

/** Inventory, rules and policy, accepted as one version. Immutable once made;
 * shared between threads by reference count.
 */
struct Configuration
{
  /** 0 is "none yet"; a higher one replaces a lower one, never back. */
  std::uint64_t mVersion = 0;
  std::vector<std::string> mDataCentres;
  std::map<ServiceId, Service> mServices;
  PolicyChoice mPolicy;
  /** Hosts that the operator drains, by name. */
  std::vector<std::string> mDrainedHosts;

  /** The service at an address, or null. Thread safe. */
  const Service* FindByAddress(const Address& aAddress) const;
  /** The service of an id, or null. Thread safe. */
  const Service* Find(ServiceId aId) const;

  /** Address to service; filled when the configuration is made. */
  std::map<Address, ServiceId> mByAddress;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace heatherplank
