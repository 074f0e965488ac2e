#include "tests/ConfigWorld.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/config/ConfigCodec.h"
#include "src/config/ConfigurationParts.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

Configuration MakeFleet(int aServices, int aSlots)
{
  Configuration out;
  out.mDataCentres = { "a" };
  Address address = ParseAddress("10.0.0.1:80").value();
  for (int i = 0; i < aServices; ++i) {
    Service service;
    service.mName = "service-" + std::to_string(i);
    service.mId = MakeServiceId(service.mName);
    service.mSlotsPerHost = static_cast<std::uint16_t>(i == 0 ? aSlots : 2);
    address.mIp[14] = static_cast<std::uint8_t>(i / 250);
    address.mIp[15] = static_cast<std::uint8_t>(1 + i % 250);
    service.mAddresses = { address };
    for (int n = 0; n < 5; ++n) {
      service.mHosts.push_back(
        { service.mName + "-host-" + std::to_string(n), "a", 100 });
    }
    service.mRules.emplace_back().mName = "all";
    out.mServices.emplace(service.mId, service);
  }
  return out;
}

ConfigWorld::ConfigWorld(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int dc = 0; dc < aOptions.mDataCentres; ++dc) {
    std::string name = "dc-" + std::to_string(dc);
    for (int i = 0; i < aOptions.mBalancers; ++i) {
      MakeBalancer(AddNode(name + "-b" + std::to_string(i), name));
    }
  }
  UpdatePeers();
  for (auto* it : Balancers()) {
    for (int i = 0; i < aOptions.mAgents; ++i) {
      Node& agent =
        AddNode(std::to_string(it->mId.mValue) + "-a" + std::to_string(i), "");
      auto options = aOptions.mAgent;
      options.mService =
        MakeServiceId("service-" + std::to_string(i % aOptions.mServices));
      agent.mAgent = std::make_unique<AgentConfiguration>(options);
      agent.mAgent->OnConnected(it->mId, mNow);
    }
  }
  for (auto& it : mNodes) {
    ScheduleTicks(*it);
  }
}

ConfigWorld::Node& ConfigWorld::AddNode(const std::string& aName,
                                        const std::string& aDataCentre)
{
  auto node = std::make_unique<Node>();
  node->mId = MakeHostId(aName);
  node->mPeer = { node->mId, MakeDataCentreId(aDataCentre) };
  mById[node->mId] = node.get();
  mNodes.push_back(std::move(node));
  return *mNodes.back();
}

void ConfigWorld::MakeBalancer(Node& aNode)
{
  auto options = mOptions.mDistribution;
  options.mSelf = aNode.mPeer;
  options.mSeed = mRandom();
  aNode.mBalancer = std::make_unique<ConfigDistribution>(options, mNow);
  aNode.mVersion = 0;
}

ConfigWorld::Node& ConfigWorld::Restart(Node& aNode)
{
  MakeBalancer(aNode);
  std::erase_if(mPendingWatches,
                [&](const PendingWatch& aIt) { return aIt.mNode == &aNode; });
  UpdatePeers();
  return aNode;
}

void ConfigWorld::UpdatePeers()
{
  std::vector<ConfigPeer> peers;
  for (auto* it : Balancers()) {
    peers.push_back(it->mPeer);
  }
  for (auto* it : Balancers()) {
    it->mBalancer->SetPeers(peers);
  }
}

std::vector<ConfigWorld::Node*> ConfigWorld::Balancers()
{
  std::vector<Node*> out;
  for (auto& it : mNodes) {
    if (it->mBalancer) {
      out.push_back(it.get());
    }
  }
  return out;
}

std::vector<ConfigWorld::Node*> ConfigWorld::Agents()
{
  std::vector<Node*> out;
  for (auto& it : mNodes) {
    if (it->mAgent) {
      out.push_back(it.get());
    }
  }
  return out;
}

bool ConfigWorld::AllHaveVersion(std::uint64_t aVersion)
{
  return std::ranges::all_of(
    mNodes, [&](const auto& aIt) { return aIt->mVersion == aVersion; });
}

std::uint64_t ConfigWorld::CountReverts() const
{
  std::uint64_t out = 0;
  for (const auto& it : mNodes) {
    out += it->mReverts;
  }
  return out;
}

void ConfigWorld::Schedule(Duration aDelay, std::function<void()> aRun)
{
  mEvents.push({ mNow + aDelay, mOrder++, std::move(aRun) });
}

void ConfigWorld::Run(Duration aFor)
{
  Time end = mNow + aFor;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mRun();
  }
  mNow = end;
}

void ConfigWorld::ScheduleTicks(Node& aNode)
{
  auto first = std::chrono::microseconds(mRandom() % 100000);
  Schedule(first, [this, &aNode] {
    aNode.mBalancer ? aNode.mBalancer->Tick(mNow) : aNode.mAgent->Tick(mNow);
    ExecuteActions(aNode);
    Schedule(std::chrono::milliseconds(100) - std::chrono::microseconds(1),
             [this, &aNode] { ScheduleTicks(aNode); });
  });
}

void ConfigWorld::ExecuteActions(Node& aNode)
{
  auto actions = aNode.mBalancer ? aNode.mBalancer->TakeActions()
                                 : aNode.mAgent->TakeActions();
  for (auto& it : actions) {
    std::visit([&](auto& aIt) { Execute(aNode, aIt); }, it);
  }
}

void ConfigWorld::Execute(Node& aNode, ConfigSend& aAction)
{
  auto to = mById.find(aAction.mTo);
  if (to == mById.end()) {
    return;
  }
  std::size_t size =
    EncodeConfigMessage(aAction.mMessage).mPayload.size() + kFrameHeaderSize;
  aNode.mBytes += size;
  aNode.mMessages += 1;
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(mRandom) >= mOptions.mLoss && !aNode.mIsIsolated) {
    to->second->mBytes += size;
    Inject(aNode.mId, *to->second, std::move(aAction.mMessage));
  }
}

void ConfigWorld::Inject(HostId aFrom, Node& aTo, ConfigMessage aMessage)
{
  auto delay = mOptions.mDelay + std::chrono::microseconds(mRandom() % 500);
  Schedule(delay, [this, aFrom, &aTo, message = std::move(aMessage)] {
    Deliver(aFrom, aTo, message);
  });
}

void ConfigWorld::Deliver(HostId aFrom, Node& aTo,
                          const ConfigMessage& aMessage)
{
  if (aTo.mIsIsolated) {
    return;
  }
  if (aTo.mBalancer) {
    aTo.mBalancer->OnMessage(aFrom, aMessage, mNow);
  } else {
    aTo.mAgent->OnMessage(aFrom, aMessage, mNow);
  }
  ExecuteActions(aTo);
}

void ConfigWorld::CompleteWatch(Node& aNode,
                                Result<std::optional<Object>> aResult)
{
  auto* balancer = aNode.mBalancer.get();
  Schedule(mOptions.mPlatformDelay,
           [this, &aNode, balancer, result = std::move(aResult)]() mutable {
             if (aNode.mBalancer.get() == balancer) {
               balancer->OnWatched(std::move(result), mNow);
               balancer->Tick(mNow);
               ExecuteActions(aNode);
             }
           });
}

Object ConfigWorld::HeadObject() const
{
  return { std::string(config_keys::kHead),
           mPlatformStale ? mPreviousHeadText : mHeadText,
           { mObjectVersion } };
}

bool ConfigWorld::ReachesPlatform(const Node& aNode) const
{
  return mPlatformUp && !aNode.mIsIsolated && !aNode.mIsIsolatedFromPlatform;
}

void ConfigWorld::Execute(Node& aNode, const ConfigWatch& aAction)
{
  mCalls.push_back(mNow);
  if (!ReachesPlatform(aNode)) {
    CompleteWatch(aNode, Fail(ErrorKind::Unavailable, "down", ""));
  } else if (mObjectVersion > aAction.mAfter.mRevision) {
    CompleteWatch(aNode, std::optional(HeadObject()));
  } else {
    mPendingWatches.push_back({ &aNode, aAction.mAfter.mRevision });
    auto* balancer = aNode.mBalancer.get();
    Schedule(aAction.mWait, [this, &aNode, balancer] {
      bool isSameProcess = aNode.mBalancer.get() == balancer;
      if (isSameProcess &&
          std::erase_if(mPendingWatches, [&](const PendingWatch& aIt) {
            return aIt.mNode == &aNode;
          }) > 0) {
        CompleteWatch(aNode, std::optional<Object>());
      }
    });
  }
}

void ConfigWorld::Execute(Node& aNode, const ConfigFetch& aAction)
{
  mCalls.push_back(mNow);
  auto* balancer = aNode.mBalancer.get();
  Schedule(2 * mOptions.mPlatformDelay, [this, &aNode, aAction, balancer] {
    if (aNode.mBalancer.get() != balancer) {
      return;
    }
    Result<Object> result = Fail(ErrorKind::Unavailable, "down", "");
    auto it = mParts.find(aAction.mKey);
    if (ReachesPlatform(aNode) && it != mParts.end()) {
      result = Object{ it->first, it->second, { 1 } };
    }
    balancer->OnFetched(aAction.mHash, std::move(result), mNow);
    balancer->Tick(mNow);
    ExecuteActions(aNode);
  });
}

void ConfigWorld::Execute(Node& aNode, const ConfigInForce& aAction)
{
  std::uint64_t version = aAction.mConfiguration->mVersion;
  aNode.mReverts += version < aNode.mVersion ? 1 : 0;
  aNode.mVersion = version;
  aNode.mInForceAt = mNow;
  aNode.mAdoptions += 1;
}

void ConfigWorld::Publish(const Configuration& aConfiguration)
{
  std::size_t before = mHead.mParts.empty() ? 0 : mHead.mParts.size() - 1;
  PublishParts(
    SplitConfiguration(aConfiguration,
                       ChoosePartCount(aConfiguration.mServices.size(), before))
      .value());
}

void ConfigWorld::PublishParts(const std::vector<std::string>& aParts)
{
  mHead.mVersion += 1;
  mHead.mAuthor = "ana";
  mHead.mNonce = mRandom();
  auto before = std::exchange(mHead.mParts, {});
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    PartRef part{ HashPart(aParts[i]), mHead.mNonce };
    bool isReused =
      before.size() == aParts.size() && before[i].mHash == part.mHash;
    mHead.mParts.push_back(isReused ? before[i] : part);
    mParts[config_keys::Part(mHead.mParts.back())] = aParts[i];
  }
  mPreviousHeadText = std::exchange(mHeadText, SerializeHead(mHead));
  ++mObjectVersion;
  for (const auto& it : std::exchange(mPendingWatches, {})) {
    if (ReachesPlatform(*it.mNode)) {
      CompleteWatch(*it.mNode, std::optional(HeadObject()));
    } else {
      CompleteWatch(*it.mNode, Fail(ErrorKind::Unavailable, "down", ""));
    }
  }
}

} // namespace heatherplank
