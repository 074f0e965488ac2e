#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigActions.h"
#include "src/config/ConfigPeers.h"
#include "src/config/ConfigPlatform.h"
#include "src/config/ConfigSubscribers.h"
#include "src/config/ConfigTransfer.h"
#include "src/config/ConfigurationAssembler.h"

namespace heatherplank {

/** The balancer's side of configuration distribution: brings each accepted
 * configuration into force on every balancer and agent within seconds, and
 * never an older one. Takes events and returns actions. No I/O, locks or clock
 * access; not thread safe.
 *
 * A few watchers per data centre watch the platform for a new version and fetch
 * the parts that changed. A balancer that puts a version in force offers it to
 * its children in two trees over the data centre; a receiver requests the parts
 * that it lacks, so that content is sent once to each balancer. Each balancer
 * also sends a digest about once a second to a random balancer of its own and
 * of another data centre, which repairs a lost offer, a dead parent and an
 * isolated watcher. An agent receives the entry of its service.
 */
class ConfigDistribution
{
public:
  struct Options
  {
    ConfigPeer mSelf;
    std::uint64_t mSeed = 1;
    /** With 3, two may die at once. Each costs one open watch, answered once
     * per change; normally only the first also reads the changed parts. */
    std::size_t mWatchersPerDataCentre = 3;
    /** Children per tree. With 4 the trees over 200 balancers have 4 levels,
     * and a balancer sends 8 offers of 200 bytes per change. */
    std::size_t mFanout = 4;
    Duration mDigestInterval = std::chrono::seconds(1);
    /** Time after which a request is repeated at another balancer. */
    Duration mAnswerTimeout = std::chrono::milliseconds(400);
    /** A watcher waits this long, times its rank, before it reads parts from
     * the platform: by then it has them from the first watcher, unless that
     * one died. Without the delay each change costs three times the reads. */
    Duration mFetchDelayPerRank = std::chrono::milliseconds(300);
    /** Maximum bytes of parts in one message; the rest is requested again. */
    std::size_t mMaxMessageBytes = std::size_t{ 256 } * 1024;
    ConfigPlatform::Options mPlatform;
    /** Guards; off only in tests that show the failure each one prevents. */
    bool mRefuseOlder = true;
    bool mValidate = true;
    bool mDigests = true;
  };

  ConfigDistribution(const Options& aOptions, Time aNow);

  /** Sets the balancers believed to be alive, of all data centres. */
  void SetPeers(std::span<const ConfigPeer> aPeers);

  /** Handles a message from a balancer or an agent. */
  void OnMessage(HostId aFrom, const ConfigMessage& aMessage, Time aNow);

  /** An agent's connection ended. */
  void OnAgentGone(HostId aAgent) { mSubscribers.Remove(aAgent); }

  /** Handles the result of a ConfigWatch or a ConfigFetch. */
  void OnWatched(Result<std::optional<Object>> aResult, Time aNow);
  void OnFetched(const PartHash& aHash, Result<Object> aResult, Time aNow);

  /** Adds the calls and messages that are due; to be called every 50 to
   * 200 ms, and after OnWatched and OnFetched. */
  void Tick(Time aNow);

  /** Returns the actions added since the last call, in order. */
  std::vector<ConfigAction> TakeActions();

  /** The configuration in force; null before the first version. */
  const ConfigurationPtr& InForce() const { return mInForce; }
  std::uint64_t Version() const { return mInForce ? mInForce->mVersion : 0; }
  ConfigCounters Counters() const;
  bool IsWatcher() const { return mPeers.IsWatcher(); }

private:
  void Handle(HostId aFrom, const ConfigOffer& aOffer, Time aNow);
  void Handle(HostId aFrom, const ConfigRequest& aRequest, Time aNow);
  void Handle(HostId aFrom, const ConfigObjects& aObjects, Time aNow);
  bool ShouldAdopt(std::uint64_t aVersion, const PartHash& aRoot);
  void BeginTransfer(ConfigurationHead aHead, Time aNow);
  void BeginTransferFromText(const std::string& aText, Time aNow);
  void FinishTransfer(Time aNow);
  void RequestMissingParts(HostId aFrom, Time aNow);
  void SendDigest(Time aNow);
  void RetryRequest(Time aNow);
  void Send(HostId aTo, ConfigMessage aMessage);

  Options mOptions;
  std::mt19937_64 mRandom;
  ConfigPeers mPeers;
  ConfigPlatform mPlatform;
  ConfigSubscribers mSubscribers;
  ConfigurationAssembler mAssembler;
  ConfigurationPtr mInForce;
  /** The version in force, and the offer that announces it with the changes
   * from the version before. */
  ConfigTransfer mCurrent;
  ConfigOffer mOffer;
  /** The higher version that is being transferred, if any. */
  std::optional<ConfigTransfer> mTarget;
  /** The balancer with a pending request, for the head of mRequestedVersion or
   * for parts of mTarget; none if no request is pending. */
  HostId mRequestedFrom;
  std::uint64_t mRequestedVersion = 0;
  Time mRequestedAt{};
  /** Hashes of heads that failed validation, not to be transferred again. */
  std::set<PartHash> mRefusedRoots;
  Time mDigestAt{};
  /** When this watcher may read the parts of mTarget from the platform. */
  Time mFetchAt{};
  std::vector<ConfigAction> mActions;
  ConfigCounters mCounters;
};

} // namespace heatherplank
