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

/** A balancer's part in bringing each accepted configuration into force
 * everywhere within seconds, and never an older one. Events go in, actions
 * come out; it does no I/O and takes no lock. Pure; not thread safe.
 *
 * A few watchers a data centre see a new version at the platform and fetch the
 * parts that changed. Whoever puts a version in force offers it to its
 * children in two trees over the data centre; who lacks it asks for the parts
 * it misses, so that content travels once to each. A digest a second to a
 * random balancer finds what a lost offer, a dead parent or a cut-off watcher
 * left behind. Agents get the entry of their own service.
 */
class ConfigDistribution
{
public:
  struct Options
  {
    ConfigPeer mSelf;
    std::uint64_t mSeed = 1;
    /** Two may die at once and the third still watches; each costs a waiting
     * call and a read a change at the platform. */
    std::size_t mWatchers = 3;
    /** With 4 a data centre of 200 is 4 levels deep, and a balancer sends 8
     * offers of 200 bytes a change. */
    std::size_t mFanout = 4;
    Duration mDigestPeriod = std::chrono::seconds(1);
    /** How long an asked balancer may take before another one is asked. */
    Duration mAnswerTimeout = std::chrono::milliseconds(400);
    /** How much later each further watcher of a data centre reads parts from
     * the platform: by then it has them from the first one, unless that one
     * died. Without it each change costs three times the reads. */
    Duration mFetchStep = std::chrono::milliseconds(300);
    /** Bytes of parts in one message; the rest is asked for again. */
    std::size_t mMaxMessage = std::size_t{ 256 } * 1024;
    ConfigPlatform::Options mPlatform;
    /** Guards, off only in tests that show what they are for. */
    bool mRefuseOlder = true;
    bool mCheckWhole = true;
    bool mDigests = true;
  };

  ConfigDistribution(const Options& aOptions, Time aNow);

  /** The balancers that are believed to live, of all data centres. */
  void SetPeers(std::span<const ConfigPeer> aPeers);

  /** A message of a balancer or an agent. */
  void OnMessage(HostId aFrom, const ConfigMessage& aMessage, Time aNow);

  /** An agent's connection ended. */
  void OnAgentGone(HostId aAgent) { mSubscribers.Remove(aAgent); }

  /** The outcome of a ConfigWatch or ConfigFetch. */
  void OnWatched(Result<std::optional<Object>> aResult, Time aNow);
  void OnFetched(const PartHash& aHash, Result<Object> aResult, Time aNow);

  /** Call it every 50 to 200 ms, and after OnWatched and OnFetched. */
  void Tick(Time aNow);

  /** What is to be done since the last call, in order. */
  std::vector<ConfigAction> TakeActions();

  /** The configuration in force; null before the first. */
  const ConfigurationPtr& InForce() const { return mInForce; }
  std::uint64_t Version() const { return mInForce ? mInForce->mVersion : 0; }
  ConfigCounters Counters() const;
  bool IsWatcher() const { return mPeers.IsWatcher(); }

private:
  void Handle(HostId aFrom, const ConfigOffer& aOffer, Time aNow);
  void Handle(HostId aFrom, const ConfigRequest& aRequest, Time aNow);
  void Handle(HostId aFrom, const ConfigObjects& aObjects, Time aNow);
  bool IsNews(std::uint64_t aVersion, const PartHash& aRoot);
  void Begin(ConfigurationHead aHead, Time aNow);
  void BeginText(const std::string& aText, Time aNow);
  void Complete(Time aNow);
  void AskForMissing(HostId aFrom, Time aNow);
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
  /** The version in force, and the one before for offers of the changes. */
  ConfigTransfer mHeld;
  ConfigOffer mOffer;
  /** A higher version that is being completed. */
  std::optional<ConfigTransfer> mTarget;
  /** The balancer that was asked, for the head of mAskedVersion or for parts
   * of mTarget; none if nobody is. */
  HostId mAsked;
  std::uint64_t mAskedVersion = 0;
  Time mAskedAt{};
  /** Heads that failed the check; they are not fetched again. */
  std::set<PartHash> mRefused;
  Time mDigestAt{};
  /** When this watcher may read the parts of mTarget from the platform. */
  Time mFetchAt{};
  std::vector<ConfigAction> mActions;
  ConfigCounters mCounters;
};

} // namespace heatherplank
