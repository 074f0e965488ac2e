#include "src/agent/Agent.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "src/agent/ConfigFeed.h"
#include "src/agent/FlowHandler.h"
#include "src/agent/MemberFeed.h"
#include "src/agent/OutlierTracker.h"
#include "src/agent/PeerLoads.h"
#include "src/agent/PolicyMeter.h"
#include "src/agent/RequestPipeline.h"
#include "src/agent/RunOnceRecorder.h"
#include "src/agent/SlowStartTracker.h"
#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"
#include "src/process/ProcessPorts.h"
#include "src/process/ProcessRuntime.h"
#include "src/process/StatusSender.h"
#include "src/process/WallClock.h"
#include "src/status/StatusCodec.h"
#include "src/store/HttpObjectStore.h"
#include "src/wire/LoadCodec.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

constexpr auto kOwnershipTickInterval = std::chrono::milliseconds(25);
constexpr auto kPipelineTickInterval = std::chrono::milliseconds(5);
constexpr auto kConfigTickInterval = std::chrono::milliseconds(100);
constexpr auto kMembersTickInterval = std::chrono::milliseconds(50);
constexpr auto kLinksTickInterval = std::chrono::seconds(1);
constexpr auto kStatusInterval = std::chrono::seconds(1);
/** Well below the second for which PickLedger counts a pick: a newer load
 * report replaces the pick in time. */
constexpr auto kLoadInterval = std::chrono::milliseconds(200);
/** Recipients of one load report. At 96 bytes a datagram this bounds the
 * traffic to 7.7 KB/s, independent of the size of the service. */
constexpr std::size_t kMaxLoadRecipients = 16;
/** Connections to the backend server beyond its slots, since the connections of
 * cancelled requests take time to close. */
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

/** A grant shard has one store call in flight at a time. A call that hangs for
 * longer than this timeout would exhaust the deadlines of all
 * requests queued behind it. */
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
  SlowStartTracker mSlowStarts;
  OutlierTracker mOutliers;
  AdminServer mAdmin;
  std::mt19937_64 mRandom;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::shared_ptr<ObjectStore> mStore;
  std::unique_ptr<BackendClient> mBackend;
  std::unique_ptr<RunOnceRecorder> mGrants;
  std::unique_ptr<FlowHandler> mFlows;
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
                  "apply a configuration, or check the platform's object "
                  "store and the balancers");
    }
    if (!mMembers.IsInView()) {
      return Fail(ErrorKind::Unavailable,
                  "no balancer lists this host as a member",
                  "check the inventory and the balancers' addresses");
    }
    return {};
  }

  Result<void> Open(bool aFaultInjection)
  {
    auto executor = mRuntime.Executor();
    auto tunnel = OpenPorts(
      { executor, mSettings.mTunnel, mCuts, mLinks, mAdmin, aFaultInjection });
    if (!tunnel) {
      return tl::unexpected(tunnel.error());
    }
    mTunnel = *tunnel;
    return mAdmin.Start(executor, mSettings.mAdmin);
  }

  void Start()
  {
    CreateComponents();
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

  void CreateComponents()
  {
    mBackend =
      std::make_unique<BackendClient>(mRuntime.Executor(), mSettings.mBackend,
                                      mSettings.mSlots + kSpareConnections);
    FlowHandler::Options options;
    options.mSelf = mSelf;
    options.mServiceName = mSettings.mService;
    options.mMaxFlows = mSettings.mMaxFlows;
    options.mMaxAnswerBytes = mSettings.mMaxAnswerBytes;
    mFlows = std::make_unique<FlowHandler>(
      FlowHandler::Parts{ mClock, mMetrics, *mTunnel,
                          [this](const Member& aMember, Time aNow) {
                            return MakeCandidate(aMember, aNow);
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
    recording.mConfirmAfter =
      std::chrono::milliseconds(mSettings.mConfirmAfterMs);
    mGrants = std::make_unique<RunOnceRecorder>(
      RunOnceRecorder::Parts{ mClock, mMetrics, mStore, *mTunnel, mLinks,
                              [this] { return View(); } },
      mSelf, recording);
    mPipeline = std::make_unique<RequestPipeline>(
      RequestPipeline::Parts{ mClock, mMetrics, *mBackend, *mGrants, *mFlows },
      mSettings.mName, mSettings.mSlots);
    mFlows->SetPipeline(*mPipeline);
  }

  void StartTimers()
  {
    mRuntime.Every(kMembersTickInterval, [this] { mMembers.Tick(); });
    mRuntime.Every(kLinksTickInterval, [this] { mLinks.Tick(); });
    mRuntime.Every(kOwnershipTickInterval, [this] {
      mFlows->Tick();
      AdvanceStop();
    });
    mRuntime.Every(kPipelineTickInterval, [this] {
      mPipeline->Tick();
      mGrants->Tick();
    });
    mRuntime.Every(kConfigTickInterval, [this] {
      mConfig.SetBalancers(mMembers.Balancers());
      mConfig.Tick();
    });
    mRuntime.Every(kLoadInterval, [this] { SendLoad(); });
    mRuntime.Every(kStatusInterval, [this] { SendStatus(); });
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
    mFlows->SetService(*service, aConfiguration.mPolicy.mName);
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
    if (mFlows) {
      mFlows->OnView(aView, aConfirmedAt);
      mGrants->OnView(*aView);
    }
  }

  ServiceViewPtr View()
  {
    std::lock_guard lock(mViewLock);
    return mView;
  }

  Candidate MakeCandidate(const Member& aMember, Time aNow)
  {
    Candidate candidate;
    candidate.mHost = aMember.mHost;
    candidate.mLoad = aMember.mHost == mSelf.mHost
                        ? mPipeline->Load()
                        : mLoads.Find(aMember.mHost, aNow);
    candidate.mWeight = mOutliers.IsEjected(aMember.mHost, aNow)
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
        mOutliers.OnLoadReport(load->mHost, load->mLoad, mClock.Now());
      } else {
        mMalformed.Add();
      }
      return;
    }
    if (!mFlows->OnDatagram(*frame) && !mGrants->OnDatagram(*frame, aFrom)) {
      mMalformed.Add();
    }
  }

  void OnFrame(const Hello& aFrom, const Frame& aFrame)
  {
    if (aFrame.mKind == MessageKind::HandOff) {
      mFlows->OnHandOffFrame(aFrame.mPayload);
    } else if (mGrants->OnFrame(aFrame)) {
      return;
    } else if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
    } else {
      mConfig.OnFrame(aFrom, aFrame);
    }
  }

  void SendLoad()
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
    mOutliers.OnLoadReport(mSelf.mHost, message.mLoad, mClock.Now());
    Bytes datagram = EncodeLoad(message);
    std::vector<Member> others;
    std::vector<Candidate> peers;
    Time now = mClock.Now();
    for (const auto& it : view->Members()) {
      if (it.mHost != mSelf.mHost && CanAdopt(it)) {
        others.push_back(it);
        peers.push_back(MakeCandidate(it, now));
      }
    }
    std::shuffle(others.begin(), others.end(), mRandom);
    others.resize(std::min(others.size(), kMaxLoadRecipients));
    for (const auto& it : others) {
      mTunnel->Send(datagram, it.mTunnel);
    }
    mLoads.Retain(view->Members());
    mPipeline->SetPeers(peers);
    peers.push_back(MakeCandidate(mSelf, now));
    mMeter.OnLoads(peers);
  }

  /** Reports the running version and the policy's figures to the balancer that
   * stores this process's status. Figures that can't be sent now accumulate
   * into the next report. */
  void SendStatus()
  {
    mStatus.Add(mMeter.Take());
    if (auto due = mStatus.Tick(mMembers.Balancers(), mClock.Now())) {
      mLinks.Send(due->mStoringBalancer.mControl, MessageKind::StatusReport,
                  EncodeStatusReport(due->mReport));
    }
  }

  /** Stops adopting flows and hands off those that this host owns. */
  void Drain()
  {
    mDraining = true;
    mMembers.SetState(HostState::Draining);
    mFlows->Drain();
    mPipeline->Drain();
  }

  void BeginStop()
  {
    mStopBegan = mClock.Now();
    Drain();
    mStopping = true;
  }

  /** True if another host can adopt this host's flows. When the whole service
   * stops there is no such host, and waiting would only delay the stop. */
  bool CanHandOff()
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

  /** Advances a planned stop. The host first waits until it has no requests or
   * flows left, or until the drain timeout. It then only forwards packets, for
   * as long as other processes may still send packets to it. */
  void AdvanceStop()
  {
    if (!mStopping) {
      return;
    }
    Time now = mClock.Now();
    bool drained =
      mPipeline->Active() == 0 && (mFlows->FlowCount() == 0 || !CanHandOff());
    bool timedOut =
      now - mStopBegan >= std::chrono::milliseconds(mSettings.mDrainTimeoutMs);
    if (mLeavingSince == Time{}) {
      if (drained || timedOut) {
        LogEvent(LogLevel::Info, "drained",
                 { { "flows_left", mFlows->FlowCount() },
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
