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

/** A valid configuration with this many services of five hosts each, of which
 * service 0 has aSlots slots a host. */
Configuration MakeFleet(int aServices, int aSlots = 2);

/** Balancers and agents in process over a queue of events, with a platform
 * that holds one head and its parts. Time stands still between events.
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
    /** One way between processes, and to the platform. */
    Duration mDelay = std::chrono::milliseconds(1);
    Duration mPlatformDelay = std::chrono::milliseconds(3);
    ConfigDistribution::Options mDistribution;
    AgentConfiguration::Options mAgent;
  };

  struct Node
  {
    HostId mId;
    ConfigPeer mPeer;
    /** One of the two. */
    std::unique_ptr<ConfigDistribution> mBalancer;
    std::unique_ptr<AgentConfiguration> mAgent;
    /** Neither sends nor receives. */
    bool mIsCut = false;
    bool mIsCutFromPlatform = false;
    std::uint64_t mVersion = 0;
    Time mInForceAt{};
    std::uint64_t mSteps = 0;
    std::uint64_t mReverted = 0;
    std::uint64_t mBytes = 0;
    std::uint64_t mMessages = 0;
  };

  explicit ConfigWorld(const Options& aOptions);

  /** Has a configuration accepted as the next version. */
  void Publish(const Configuration& aConfiguration);
  /** The same with these texts as parts, checked by nobody. */
  void PublishParts(const std::vector<std::string>& aParts);
  /** Replaces a balancer by a fresh one; returns it. */
  Node& Restart(Node& aNode);
  void Run(Duration aFor);
  /** Delivers a message as if aFrom had sent it. */
  void Inject(HostId aFrom, Node& aTo, ConfigMessage aMessage);

  std::vector<Node*> Balancers();
  std::vector<Node*> Agents();
  bool AllRun(std::uint64_t aVersion);
  std::uint64_t Reverted() const;

  Options mOptions;
  Time mNow = Time{} + std::chrono::hours(1);
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  bool mPlatformUp = true;
  /** The platform answers with the head before the newest. */
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
  struct Waiting
  {
    Node* mNode;
    std::uint64_t mAfter;
  };

  Node& AddNode(const std::string& aName, const std::string& aDataCentre);
  void MakeBalancer(Node& aNode);
  void IntroducePeers();
  void After(Duration aDelay, std::function<void()> aRun);
  void TickForever(Node& aNode);
  void Collect(Node& aNode);
  void Do(Node& aNode, ConfigSend& aAction);
  void Do(Node& aNode, const ConfigWatch& aAction);
  void Do(Node& aNode, const ConfigFetch& aAction);
  void Do(Node& aNode, const ConfigInForce& aAction);
  void Deliver(HostId aFrom, Node& aTo, const ConfigMessage& aMessage);
  void AnswerWatch(Node& aNode, Result<std::optional<Object>> aResult);
  Object HeadObject() const;
  bool Reaches(const Node& aNode) const;

  std::map<HostId, Node*> mById;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::map<std::string, std::string> mParts;
  std::vector<Waiting> mWatches;
  std::string mHeadText;
  std::string mOldHeadText;
  std::uint64_t mObjectVersion = 0;
};

} // namespace heatherplank
