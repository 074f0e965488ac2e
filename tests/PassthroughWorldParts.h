#pragma once

#include <algorithm>
#include <utility>

#include "lab/soak/PacketMaker.h"
#include "src/net/Endpoint.h"
#include "tests/PassthroughWorld.h"

namespace heatherplank {

using namespace std::chrono_literals;
using lab::kAck;
using lab::kFin;
using lab::kSyn;
using lab::MakePacket;

inline constexpr int kBalancers = 3;
inline constexpr int kHostsOfOne = 4;
inline constexpr int kHostsOfOther = 2;
inline constexpr auto kTroubleFor = 2500ms;
inline constexpr auto kCalmAfter = 4000ms;
inline constexpr auto kBeatEvery = 300ms;
/** A packet may be on its way from the agent to the host as it leaves. */
inline constexpr auto kOnTheWay = 5ms;

/** A drain is known to every balancer that hears of it within this, and to an
 * agent a heartbeat later. */
inline constexpr auto kDrainKnownWithin = 100ms;
/** What was offered before is placed by then: late copies, and hosts that are
 * offered to again because others were silent. */
inline constexpr auto kOfferedWithin = 150ms;

/** The data centre of a host: they take turns. */
inline DataCentreId DataCentreOf(std::size_t aIndex)
{
  return MakeDataCentreId(aIndex % 2 == 0 ? "even" : "odd");
}

inline Address At4(const char* aPrefix, std::size_t aIndex, std::uint16_t aPort)
{
  return *ParseAddress(aPrefix + std::to_string(aIndex + 1) + ":" +
                       std::to_string(aPort));
}

inline const Address kRouteOne = *ParseAddress("198.18.0.1:80");
inline const Address kRouteOther = *ParseAddress("198.18.0.2:80");

/** A host: opens a flow for each SYN, answers each request. */
struct PassthroughWorld::Host
{
  struct Flow
  {
    std::uint32_t mSequence = 0;
    bool mOpen = false;
  };
  bool mAlive = true;
  std::string mId;
  std::string mService;
  std::int64_t mStartedAt = 0;
  std::uint64_t mBeats = 0;
  HostPhase mPhase = HostPhase::Ready;
  /** When its agent acknowledged that it leaves. */
  std::optional<Time> mLeftAt;
  std::map<FlowKey, Flow> mFlows;
};

struct PassthroughWorld::Balancer final : FlowSteeringOutput
{
  PassthroughWorld* mWorld = nullptr;
  Address mTunnel;
  std::unique_ptr<FlowSteering> mSteering;
  bool mFrozen = false;
  std::vector<std::function<void()>> mHeld;
  DataCentreDrains mDrains;

  /** Runs now, or when it wakes. */
  void Do(std::function<void()> aWhat)
  {
    if (mFrozen) {
      mHeld.push_back(std::move(aWhat));
    } else {
      aWhat();
    }
  }

  void Wake()
  {
    mFrozen = false;
    mSteering->OnStandstill(mWorld->mClock.Now());
    for (auto& it : std::exchange(mHeld, {})) {
      it();
    }
  }

  void Start()
  {
    mFrozen = false;
    mHeld.clear();
    mSteering = std::make_unique<FlowSteering>(
      FlowSteering::Options{ mTunnel, MakeDataCentreId("z"), 64 },
      mWorld->mPackets, *this);
    mSteering->SetInventory(mWorld->mInventory);
    mSteering->SetDrains(mDrains);
    mWorld->GiveViews(*this);
  }

  void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
  {
    mWorld->ToAgent(aAgent, aPacket, nullptr);
  }
  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mWorld->ToCaller(aCaller, { aPacket.begin(), aPacket.end() });
  }
  void Placed(Duration) override {}
};

struct PassthroughWorld::Agent final : HostFlowsOutput
{
  PassthroughWorld* mWorld = nullptr;
  std::size_t mIndex = 0;
  Address mTunnel;
  std::string mService;
  std::unique_ptr<HostFlows> mFlows;
  std::shared_ptr<Host> mHost;
  bool mFrozen = false;
  std::vector<std::function<void()>> mHeld;
  std::set<std::size_t> mCutFrom;

  void Start()
  {
    HostFlows::Options options;
    options.mHost = MakeHostId("host-" + std::to_string(mIndex));
    options.mSelf = mTunnel;
    options.mService = MakeServiceId(mService);
    options.mMaxFlows = 256;
    options.mSilentAfter = 3 * kBeatEvery;
    options.mGuards = mWorld->mOptions.mGuards;
    mFlows = std::make_unique<HostFlows>(options, mWorld->mPackets, *this,
                                         mWorld->mClock.Now());
  }

  /** Runs now, when it wakes, or never if it was killed meanwhile. */
  void Do(std::function<void()> aWhat)
  {
    if (mFrozen) {
      mHeld.push_back(std::move(aWhat));
    } else if (mFlows) {
      aWhat();
    }
  }

  HostState State() const
  {
    Time now = mWorld->mClock.Now();
    if (!mFlows || !mFlows->Host().IsHeard(now) ||
        mFlows->Host().Phase() == HostPhase::Gone) {
      return HostState::Leaving;
    }
    return mFlows->Host().Phase() == HostPhase::Draining ? HostState::Draining
                                                         : HostState::Serving;
  }

  void ToHost(ByteView aPacket) override
  {
    mWorld->ToHost(*this, { aPacket.begin(), aPacket.end() });
  }
  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mWorld->ToCaller(aCaller, { aPacket.begin(), aPacket.end() });
  }
  void Steer(const Address& aTo, const SteeredPacket& aPacket) override
  {
    if (aPacket.mPurpose != SteerPurpose::NotHere) {
      mWorld->ToAgent(aTo, aPacket, this);
      return;
    }
    Time now = mWorld->mClock.Now();
    mWorld->ToBalancer(aTo, [aPacket, now](Balancer& aIt) {
      aIt.mSteering->OnNotHere(aPacket, now);
    });
  }
  void Measured(HostTiming, Duration) override {}
  void Report(const Address& aBalancer, const PlacementReport& aReport) override
  {
    mWorld->ToBalancer(aBalancer, [aReport](Balancer& aIt) {
      aIt.mSteering->OnReport(aReport, aIt.mWorld->mClock.Now());
    });
  }
};

/** A caller of one flow: opens it, sends one request until it is answered. */
struct PassthroughWorld::Caller
{
  FlowKey mFlow;
  std::string mService;
  bool mEnded = false;
  bool mAccepted = false;
  bool mAnswered = false;
  std::uint32_t mHostSequence = 0;
  /** The host that opened the flow. */
  std::weak_ptr<Host> mHost;
  std::set<Bytes> mSent;
  int mReceivedByHost = 0;
};

} // namespace heatherplank
