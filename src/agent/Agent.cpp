#include "src/agent/Agent.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "src/agent/ConfigFeed.h"
#include "src/agent/FlowFront.h"
#include "src/agent/MemberFeed.h"
#include "src/agent/Outliers.h"
#include "src/agent/PeerLoads.h"
#include "src/agent/PolicyMeter.h"
#include "src/agent/RequestPipeline.h"
#include "src/agent/RunOnceRecorder.h"
#include "src/agent/SlowStarts.h"
#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"
#include "src/process/ProcessRuntime.h"
#include "src/process/StatusSender.h"
#include "src/process/WallClock.h"
#include "src/store/HttpObjectStore.h"
#include "src/wire/LoadCodec.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/StatusCodec.h"

namespace heatherplank {

namespace {

constexpr auto kOwnershipTick = std::chrono::milliseconds(25);
constexpr auto kPipelineTick = std::chrono::milliseconds(5);
constexpr auto kConfigTick = std::chrono::milliseconds(100);
constexpr auto kMembersTick = std::chrono::milliseconds(50);
constexpr auto kLinksTick = std::chrono::seconds(1);
constexpr auto kStatusPeriod = std::chrono::seconds(1);
/** Five figures a second keep a choice among loads well within the second that
 * picks count for at most. */
constexpr auto kLoadPeriod = std::chrono::milliseconds(200);
/** Most hosts that load is told in a turn: at 96 bytes a datagram that is
 * 7.7 KB a second, whatever the size of the service. */
constexpr std::size_t kLoadFanOut = 16;
/** Connections to the backend server beyond its slots, for what was given up
 * and is still closing. */
constexpr std::size_t kSpareConnections = 2;

Member MakeSelf(const AgentSettings& aSettings)
{
  Member self;
  self.mHost = MakeHostId(aSettings.mName);
  self.mService = MakeServiceId(aSettings.mService);
  self.mDataCentre = MakeDataCentreId(aSettings.mDataCentre);
  self.mIncarnation = WallClockMicroseconds();
  self.mSlots = aSettings.mSlots;
  self.mWeight = aSettings.mWeight;
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

/** A shard of grants has one call at a time: one that hangs for longer than
 * this would use up the deadlines of all claims behind it. */
HttpObjectStore::Options StoreOptions()
{
  HttpObjectStore::Options options;
  options.mTimeout = std::chrono::milliseconds(400);
  return options;
}

} // namespace

struct Agent::Impl
{
  explicit Impl(const AgentSettings& aSettings)
    : mSettings(aSettings)
    , mSelf(MakeSelf(aSettings))
    , mMalformed(
        mMetrics.GetCounter("packets_refused_total", "reason=\"malformed\""))
    , mLinks({ mRuntime.Executor(), mClock, mMetrics, mCuts },
             { mSelf.mHost, mSelf.mControl },
             [this](const Hello& aFrom, const Frame& aFrame) {
               OnFrame(aFrom, aFrame);
             })
    , mMembers({ mClock, mMetrics, mLinks,
                 [this](const ServiceViewPtr& aView, Time aConfirmedAt) {
                   OnView(aView, aConfirmedAt);
                 } },
               mSelf, MemberFeed::DefaultOptions(aSettings.mBalancers))
    , mConfig({ mClock, mMetrics, mLinks,
                [this](const ConfigurationPtr& aConfiguration) {
                  OnConfiguration(*aConfiguration);
                } },
              mSelf.mService, aSettings.mBalancers)
    , mAdmin(mMetrics, [this] { return Ready(); })
    , mRandom(mSelf.mIncarnation)
  {
  }

  const AgentSettings mSettings;
  SteadyClock mClock;
  MetricsRegistry mMetrics;
  CutList mCuts;
  ProcessRuntime mRuntime;
  const Member mSelf;
  Counter& mMalformed;
  ControlLinks mLinks;
  MemberFeed mMembers;
  ConfigFeed mConfig;
  PeerLoads mLoads;
  PolicyMeter mMeter{ mClock };
  StatusSender mStatus{ mSettings, "agent" };
  SlowStarts mSlowStarts;
  Outliers mOutliers;
  AdminServer mAdmin;
  std::mt19937_64 mRandom;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::shared_ptr<ObjectStore> mStore;
  std::unique_ptr<BackendClient> mBackend;
  std::unique_ptr<RunOnceRecorder> mGrants;
  std::unique_ptr<FlowFront> mFront;
  std::unique_ptr<RequestPipeline> mPipeline;
  std::mutex mViewLock;
  ServiceViewPtr mView;
  std::atomic<std::uint64_t> mLoadSequence{ 0 };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mDraining{ false };
  Time mStopBegan{};
  Time mLeavingSince{};

  Result<void> Ready()
  {
    if (mStopping) {
      return Fail(ErrorKind::Unavailable, "stopping", "use another host");
    }
    if (mDraining) {
      return Fail(ErrorKind::Unavailable, "drained",
                  "restart the agent to bring the host back");
    }
    if (!mConfig.Current()) {
      return Fail(ErrorKind::Unavailable, "no configuration yet",
                  "apply one, or look at the platform and the balancers");
    }
    if (!mMembers.IsInView()) {
      return Fail(ErrorKind::Unavailable, "no balancer has taken this host in",
                  "check the inventory and the balancers' addresses");
    }
    return {};
  }

  Result<void> Open(bool aFaultInjection)
  {
    auto executor = mRuntime.Executor();
    auto tunnel = DatagramSocket::Make(executor, mSettings.mTunnel, &mCuts);
    if (!tunnel) {
      return tl::unexpected(tunnel.error());
    }
    mTunnel = *tunnel;
    auto listening = mLinks.Listen();
    if (!listening) {
      return listening;
    }
    if (aFaultInjection) {
      mAdmin.MountFaults(mCuts);
    }
    return mAdmin.Start(executor, mSettings.mAdmin);
  }

  void Start()
  {
    MakeParts();
    mTunnel->Start([this](ByteView aDatagram, const Address& aFrom) {
      OnDatagram(aDatagram, aFrom);
    });
    StartTimers();
    mRuntime.OnStop([this] { BeginStop(); });
    LogEvent(LogLevel::Info, "started",
             { { "service", mSettings.mService },
               { "incarnation", mSelf.mIncarnation },
               { "tunnel", mSettings.mTunnel.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
  }

  void MakeParts()
  {
    mBackend =
      std::make_unique<BackendClient>(mRuntime.Executor(), mSettings.mBackend,
                                      mSettings.mSlots + kSpareConnections);
    FlowFront::Options options;
    options.mSelf = mSelf;
    options.mServiceName = mSettings.mService;
    options.mMaxFlows = mSettings.mMaxFlows;
    options.mMaxAnswerBytes = mSettings.mMaxAnswerBytes;
    mFront = std::make_unique<FlowFront>(
      FlowFront::Parts{ mClock, mMetrics, *mTunnel,
                        [this](const Member& aMember, Time aNow) {
                          return Observe(aMember, aNow);
                        },
                        [this](const Address& aTo, const Bytes& aPayload) {
                          mLinks.Send(aTo, MessageKind::HandOff, aPayload);
                        },
                        mMeter },
      options);
    mStore = std::make_shared<HttpObjectStore>(
      mRuntime.Executor(), mSettings.mPlatform, StoreOptions());
    RunOnceOptions recording;
    recording.mPrefix = "grants/" + mSettings.mService;
    recording.mVouchAfter = std::chrono::milliseconds(mSettings.mVouchAfterMs);
    mGrants = std::make_unique<RunOnceRecorder>(
      RunOnceRecorder::Parts{ mClock, mMetrics, mStore, *mTunnel, mLinks,
                              [this] { return View(); } },
      mSelf, recording);
    mPipeline = std::make_unique<RequestPipeline>(
      RequestPipeline::Parts{ mClock, mMetrics, *mBackend, *mGrants, *mFront },
      mSettings.mName, mSettings.mSlots);
    mFront->SetPipeline(*mPipeline);
  }

  void StartTimers()
  {
    mRuntime.Every(kMembersTick, [this] { mMembers.Tick(); });
    mRuntime.Every(kLinksTick, [this] { mLinks.Tick(); });
    mRuntime.Every(kOwnershipTick, [this] {
      mFront->Tick();
      AdvanceStop();
    });
    mRuntime.Every(kPipelineTick, [this] {
      mPipeline->Tick();
      mGrants->Tick();
    });
    mRuntime.Every(kConfigTick, [this] {
      mConfig.SetBalancers(mMembers.Balancers());
      mConfig.Tick();
    });
    mRuntime.Every(kLoadPeriod, [this] { TellLoad(); });
    mRuntime.Every(kStatusPeriod, [this] { TellStatus(); });
  }

  void OnConfiguration(const Configuration& aConfiguration)
  {
    mMetrics.GetGauge("configuration_version")
      .Set(static_cast<double>(aConfiguration.mVersion));
    const Service* service = aConfiguration.Find(mSelf.mService);
    if (service == nullptr) {
      LogEvent(LogLevel::Warning, "service_unknown",
               { { "service", mSettings.mService },
                 { "version", aConfiguration.mVersion } });
      return;
    }
    mMeter.SetPolicy(aConfiguration.mPolicy.mName);
    mStatus.OnInForce(aConfiguration.mVersion, mClock.Now());
    mFront->SetService(*service, aConfiguration.mPolicy.mName);
    mPipeline->SetService(*service);
    mMembers.Announce();
    const auto& drained = aConfiguration.mDrainedHosts;
    if (std::find(drained.begin(), drained.end(), mSettings.mName) !=
        drained.end()) {
      Drain();
    }
  }

  void OnView(const ServiceViewPtr& aView, Time aConfirmedAt)
  {
    mSlowStarts.OnView(*aView, mClock.Now());
    mOutliers.OnView(*aView);
    {
      std::lock_guard lock(mViewLock);
      mView = aView;
    }
    if (mFront) {
      mFront->OnView(aView, aConfirmedAt);
      mGrants->OnView(*aView);
    }
  }

  ServiceViewPtr View()
  {
    std::lock_guard lock(mViewLock);
    return mView;
  }

  Candidate Observe(const Member& aMember, Time aNow)
  {
    Candidate candidate;
    candidate.mHost = aMember.mHost;
    candidate.mLoad = aMember.mHost == mSelf.mHost
                        ? mPipeline->Load()
                        : mLoads.Find(aMember.mHost, aNow);
    candidate.mWeight = mOutliers.IsOut(aMember.mHost, aNow)
                          ? 0
                          : mSlowStarts.Share(aMember.mHost, aNow);
    return candidate;
  }

  void OnDatagram(ByteView aDatagram, const Address& aFrom)
  {
    auto frame = DecodeDatagram(aDatagram);
    if (!frame) {
      mMalformed.Add();
      return;
    }
    if (frame->mKind == MessageKind::Load) {
      auto load = DecodeLoad(frame->mPayload);
      if (load) {
        mLoads.OnLoad(*load, mClock.Now());
        mOutliers.OnFigures(load->mHost, load->mLoad, mClock.Now());
      } else {
        mMalformed.Add();
      }
      return;
    }
    if (!mFront->OnDatagram(*frame) && !mGrants->OnDatagram(*frame, aFrom)) {
      mMalformed.Add();
    }
  }

  void OnFrame(const Hello& aFrom, const Frame& aFrame)
  {
    if (aFrame.mKind == MessageKind::HandOff) {
      mFront->OnHandOffFrame(aFrame.mPayload);
    } else if (mGrants->OnFrame(aFrame)) {
      return;
    } else if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
    } else {
      mConfig.OnFrame(aFrom, aFrame);
    }
  }

  void TellLoad()
  {
    ServiceViewPtr view = View();
    if (!view) {
      return;
    }
    LoadMessage message;
    message.mHost = mSelf.mHost;
    message.mIncarnation = mSelf.mIncarnation;
    message.mSequence = ++mLoadSequence;
    message.mLoad = mPipeline->Load();
    mOutliers.OnFigures(mSelf.mHost, message.mLoad, mClock.Now());
    Bytes datagram = EncodeLoad(message);
    std::vector<Member> others;
    std::vector<Candidate> peers;
    Time now = mClock.Now();
    for (const auto& it : view->Members()) {
      if (it.mHost != mSelf.mHost && CanAdopt(it)) {
        others.push_back(it);
        peers.push_back(Observe(it, now));
      }
    }
    std::shuffle(others.begin(), others.end(), mRandom);
    others.resize(std::min(others.size(), kLoadFanOut));
    for (const auto& it : others) {
      mTunnel->Send(datagram, it.mTunnel);
    }
    mLoads.Retain(view->Members());
    mPipeline->SetPeers(peers);
    peers.push_back(Observe(mSelf, now));
    mMeter.OnLoads(peers);
  }

  /** Tells the balancer that keeps this process's status what it runs and how
   * the policy fares here. What can't be told now is counted on. */
  void TellStatus()
  {
    mStatus.Add(mMeter.Take());
    if (auto due = mStatus.Tick(mMembers.Balancers(), mClock.Now())) {
      mLinks.Send(due->mKeeper.mControl, MessageKind::StatusReport,
                  EncodeStatusReport(due->mReport));
    }
  }

  /** Takes no new flow from now on, and hands over those it has. */
  void Drain()
  {
    mDraining = true;
    mMembers.SetState(HostState::Draining);
    mFront->Drain();
    mPipeline->Drain();
  }

  void BeginStop()
  {
    mStopBegan = mClock.Now();
    Drain();
    mStopping = true;
  }

  /** Some other host may take this one's flows. If the whole service stops
   * there is none, and waiting would only slow the stop down. */
  bool CanHandOver()
  {
    ServiceViewPtr view = View();
    if (!view) {
      return false;
    }
    auto members = view->Members();
    return std::any_of(members.begin(), members.end(), [&](const Member& aIt) {
      return aIt.mHost != mSelf.mHost && CanAdopt(aIt);
    });
  }

  /** A planned stop: first nothing may be left here, then this host forwards
   * for as long as others may still send packets to it. */
  void AdvanceStop()
  {
    if (!mStopping) {
      return;
    }
    Time now = mClock.Now();
    bool empty =
      mPipeline->Active() == 0 && (mFront->FlowCount() == 0 || !CanHandOver());
    bool late =
      now - mStopBegan >= std::chrono::milliseconds(mSettings.mDrainTimeoutMs);
    if (mLeavingSince == Time{}) {
      if (empty || late) {
        LogEvent(LogLevel::Info, "drained",
                 { { "flows_left", mFront->FlowCount() },
                   { "requests_left", mPipeline->Active() } });
        mLeavingSince = now;
        mMembers.SetState(HostState::Leaving);
      }
      return;
    }
    if (now - mLeavingSince >= OwnershipOptions{}.mSettle) {
      LogEvent(LogLevel::Info, "stopped", {});
      mRuntime.Quit();
    }
  }
};

Agent::Agent(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Agent::~Agent() = default;

Result<std::unique_ptr<Agent>> Agent::Make(const AgentSettings& aSettings,
                                           bool aFaultInjection)
{
  auto impl = std::make_unique<Impl>(aSettings);
  auto opened = impl->Open(aFaultInjection);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<Agent>(new Agent(std::move(impl)));
}

void Agent::Run()
{
  mImpl->Start();
  mImpl->mRuntime.Run(mImpl->mSettings.mThreads);
}

} // namespace heatherplank
