#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/config/AgentConfiguration.h"
#include "src/config/ConfigDistribution.h"

namespace heatherplank {

/** Makes a valid configuration with aServices services of five hosts each;
 * service 0 has aSlots slots per host. */
Configuration MakeFleet(int aServices, int aSlots = 2);

/** In-process discrete-event simulation of balancers, agents and a platform
 * that stores one head and its parts. Time advances only from one event to the
 * next.
 */
class ConfigWorld
{
public:
  struct Options
  {
    int mDataCentres = 3;
    int mBalancers = 4;
    int mAgents = 1;
    int mServices = 4;
    double mLoss = 0;
    std::uint64_t mSeed = 1;
    /** One-way delay between nodes, and to the platform. */
    Duration mDelay = std::chrono::milliseconds(1);
    Duration mPlatformDelay = std::chrono::milliseconds(3);
    ConfigDistribution::Options mDistribution;
    AgentConfiguration::Options mAgent;
  };

  struct Node
  {
    HostId mId;
    ConfigPeer mPeer;
    /** Exactly one of these two is set. */
    std::unique_ptr<ConfigDistribution> mBalancer;
    std::unique_ptr<AgentConfiguration> mAgent;
    /** Isolated: neither sends nor receives. */
    bool mIsIsolated = false;
    bool mIsIsolatedFromPlatform = false;
    std::uint64_t mVersion = 0;
    Time mInForceAt{};
    std::uint64_t mAdoptions = 0;
    std::uint64_t mReverts = 0;
    std::uint64_t mBytes = 0;
    std::uint64_t mMessages = 0;
  };

  explicit ConfigWorld(const Options& aOptions);

  /** Stores a configuration on the platform as the next version. */
  void Publish(const Configuration& aConfiguration);
  /** As Publish, with these parts and without validation. */
  void PublishParts(const std::vector<std::string>& aParts);
  /** Replaces a balancer by a new one without state; returns its node. */
  Node& Restart(Node& aNode);
  void Run(Duration aFor);
  /** Delivers a message as if sent by aFrom. */
  void Inject(HostId aFrom, Node& aTo, ConfigMessage aMessage);

  std::vector<Node*> Balancers();
  std::vector<Node*> Agents();
  bool AllHaveVersion(std::uint64_t aVersion);
  std::uint64_t CountReverts() const;

  Options mOptions;
  Time mNow = Time{} + std::chrono::hours(1);
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  bool mPlatformUp = true;
  /** The platform returns the head before the newest one. */
  bool mPlatformStale = false;
  ConfigurationHead mHead;
  std::vector<Time> mCalls;

private:
  struct Event
  {
    Time mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };
  struct PendingWatch
  {
    Node* mNode;
    std::uint64_t mAfter;
  };

  Node& AddNode(const std::string& aName, const std::string& aDataCentre);
  void MakeBalancer(Node& aNode);
  void UpdatePeers();
  void Schedule(Duration aDelay, std::function<void()> aRun);
  void ScheduleTicks(Node& aNode);
  void ExecuteActions(Node& aNode);
  void Execute(Node& aNode, ConfigSend& aAction);
  void Execute(Node& aNode, const ConfigWatch& aAction);
  void Execute(Node& aNode, const ConfigFetch& aAction);
  void Execute(Node& aNode, const ConfigInForce& aAction);
  void Deliver(HostId aFrom, Node& aTo, const ConfigMessage& aMessage);
  void CompleteWatch(Node& aNode, Result<std::optional<Object>> aResult);
  Object HeadObject() const;
  bool ReachesPlatform(const Node& aNode) const;

  std::map<HostId, Node*> mById;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::map<std::string, std::string> mParts;
  std::vector<PendingWatch> mPendingWatches;
  std::string mHeadText;
  std::string mPreviousHeadText;
  std::uint64_t mObjectVersion = 0;
};

} // namespace heatherplank
