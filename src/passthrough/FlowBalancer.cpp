#include "src/passthrough/FlowBalancer.h"

#include <string>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/DirectorySelection.h"
#include "src/passthrough/FlowBalancerImpl.h"
#include "src/passthrough/FlowBalancerOptions.h"
#include "src/passthrough/HeartbeatRule.h"

namespace heatherplank {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
constexpr auto kExportInterval = std::chrono::seconds(1);
/** How long a balancer keeps routing after it reports that it stops: the fabric
 * checks readiness twice a second and acts on two failed checks, and packets on
 * their way still arrive after them. */
constexpr auto kStopDelay = std::chrono::milliseconds(2000);
/** A balancer that has routes but no host in view waits this long for
 * heartbeats before it reports ready. If no balancer were ready, callers'
 * packets would be lost, whereas a ready balancer can refuse them at once. */
constexpr auto kHostWaitTimeout = std::chrono::milliseconds(3000);

/** Seeds answer heartbeats within milliseconds, and a balancer that starts
 * repeats its heartbeats every 50 ms. A balancer that knows no other process
 * after this time reads the directory. */
constexpr auto kNoPeersTimeout = std::chrono::milliseconds(120);
/** How long a balancer that starts may not know the others yet. */
constexpr auto kPeerDiscoveryTime = std::chrono::milliseconds(1000);
/** Routes are read again after a process stall of at least this length. A
 * shorter one leaves the connection of the watch alive, and a slow VM would
 * query the store again and again. */
constexpr auto kMinStallForRouteRead = std::chrono::milliseconds(700);

} // namespace

FlowBalancer::Impl::Impl(const FlowBalancerSettings& aSettings,
                         const PlatformAdapter& aAdapter,
                         ReloadSettings aReloadSettings)
  : mSettings(aSettings)
  , mReloadSettings(std::move(aReloadSettings))
  , mSelf(MakeSelf(aSettings))
  , mProcess({ mSettings, aAdapter, mSelf.mHost, mSelf.mIncarnation,
               mSelf.mControl, [this] { return Ready(); },
               [this](const Frame& aFrame) { OnFrame(aFrame); },
               [this](std::vector<Address> aSeeds) {
                 mMembers.SetSeeds(std::move(aSeeds));
               } })
  , mClock(mProcess.mClock)
  , mPlacementTime(mProcess.mMetrics.GetHistogram("placement_ms"))
  , mSteering(MakeSteeringOptions(aSettings, mSelf), aAdapter.Packets(), *this)
  , mMembers({ mClock, mProcess.mMetrics, mProcess.mMessages,
               [this](auto aViews, auto aServices) {
                 mSteering.SetViews(aViews, aServices);
                 mProcess.mTraffic.SetViews(aViews, aServices);
                 mCompleteness.OnHosts(mSteering.Hosts(), mClock.Now());
                 UpdateViewState(mClock.Now());
               } },
             mSelf, MakeMembershipOptions(aSettings))
  , mPastServices(MakePastServiceOptions(aSettings, mSelf), mProcess.mMessages,
                  mSteering.Services())
  , mRoutes({ mClock, mProcess.mMessages, *mProcess.mStore,
              aAdapter.Inventories(), MakeWatchOptions(aSettings, mSelf),
              MakeDrainOptions(aSettings, mSelf),
              MakePeerOptions(aSettings, mSelf),
              MakeWatcherSelectionOptions(aSettings, mSelf, mClock.Now()),
              std::chrono::seconds(aSettings.mFlowsLastS),
              [this] { return mMembers.Balancers(); },
              [this] { return mProcess.Seeds(); },
              [this](FlowInventoryPtr aInventory) {
                std::uint64_t version = aInventory->mVersion;
                mSteering.SetInventory(std::move(aInventory));
                mPastServices.OnRoutes(version, mClock.Now());
              },
              [this](const DataCentreDrains& aDrains) {
                mDrains = aDrains;
                mSteering.SetDrains(aDrains);
              },
              [this](std::span<const PastService> aPast) {
                mSteering.Services().OnPeer(aPast, mClock.Now());
              } })
  , mRetryTimer(mProcess.mRuntime.Executor())
  , mStartedAt(mClock.Now())
  , mCompleteness(mStartedAt)
{
}

Result<void> FlowBalancer::Impl::Ready()
{
  if (mStopping) {
    return Fail(ErrorKind::Unavailable, "stopping",
                "send packets to another balancer");
  }
  if (!mSteering.Inventory()) {
    return Fail(ErrorKind::Unavailable, "no routes received yet",
                "check the store and the other balancers");
  }
  if (mIsolated) {
    return Fail(ErrorKind::Unavailable,
                "isolated: most agents are unresponsive",
                "check the network of this VM");
  }
  bool hasWaited = mClock.Now() - mStartedAt >= kHostWaitTimeout;
  if (mSteering.UsableHosts() == 0 && !hasWaited) {
    return Fail(ErrorKind::Unavailable, "no usable host known yet",
                "wait for a heartbeat, or check the agents");
  }
  return {};
}

Result<void> FlowBalancer::Impl::Open()
{
  auto ingress = DatagramSocket::Make(mProcess.mRuntime.Executor(),
                                      mSettings.mIngress, &mProcess.mCuts);
  if (!ingress) {
    return tl::unexpected(ingress.error());
  }
  mIngress = *ingress;
  return mProcess.Open();
}

void FlowBalancer::Impl::Start()
{
  mSteering.OnStart(mClock.Now());
  mIngress->Start([this](ByteView aDatagram, const Address&) {
    mSteering.OnPacket(aDatagram, CheckForStall());
    ArmRetry();
  });
  mProcess.mTunnel->Start([this](ByteView aDatagram, const Address& aFrom) {
    OnDatagram(aDatagram, aFrom);
  });
  mProcess.mRuntime.Every(kTickInterval, [this] { Tick(); });
  mProcess.mRuntime.Every(kExportInterval, [this] { EverySecond(); });
  mProcess.mRuntime.OnStop([this] { Stop(); });
  mProcess.mRuntime.OnReload(
    [this] { mProcess.OnSettingsReloaded(mReloadSettings()); });
  LogEvent(LogLevel::Info, "started",
           { { "ingress", mSettings.mIngress.ToString() },
             { "tunnel", mSettings.mTunnel.ToString() },
             { "control", mSettings.mControl.ToString() },
             { "admin", mSettings.mAdmin.ToString() } });
  Tick();
}

void FlowBalancer::Impl::Tick()
{
  Time now = CheckForStall();
  auto balancers = mMembers.Balancers();
  if (mBalancers.Set(balancers)) {
    mProcess.mTraffic.SetMembers(BalancerService(), balancers);
  }
  mSteering.SetBalancers(balancers);
  mSteering.SendRecords(now);
  EvaluateIsolation(now);
  UpdateDirectory(now);
  mMembers.Tick();
  mRoutes.OnTick();
  mSteering.SetHasMissedRoutes(mRoutes.HasMissedRoutes());
  mPastServices.SetNewestSkipped(mRoutes.NewestSkippedRoutes(), now);
  mPastServices.OnTick(balancers, mSteering.Hosts(), now);
  mSteering.SetKnownPast(mPastServices.Known(now), now);
  UpdateViewState(now);
  TickSteering();
}

/** Call with each change of the views: a host that is no longer in view may
 * have been declared dead. */
void FlowBalancer::Impl::UpdateViewState(Time aNow)
{
  bool allMonitor =
    mMembers.Balancers().size() < kMonitorRule.mMaxBalancersAllMonitor;
  bool isComplete = mCompleteness.IsComplete(
    { mMembers.Readiness(), mIsolated, allMonitor }, aNow);
  bool hasRecentDeath =
    mMembers.HasRecentDeath(std::chrono::seconds(mSettings.mFlowsLastS));
  mSteering.SetViewState({ isComplete, hasRecentDeath });
}

void FlowBalancer::Impl::TickSteering()
{
  // Answers that arrived while this process did not run are read first.
  mProcess.mTunnel->ReadNow();
  mSteering.OnTick(mClock.Now());
  ArmRetry();
}

/** Returns the current time. Checks first whether this process was just
 * stalled: packets that it reads next may be as old as the stall. */
Time FlowBalancer::Impl::CheckForStall()
{
  Time now = mClock.Now();
  Duration gap = mStallWatch.OnTick(now, ProcessStallWatch::SinceBoot());
  if (gap > Duration::zero()) {
    OnProcessStall(gap, now);
  }
  return now;
}

/** Routes may have changed during the stall, and the connection of their
 * watch may be dead. */
void FlowBalancer::Impl::OnProcessStall(Duration aGap, Time aNow)
{
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aGap);
  LogEvent(LogLevel::Warning, "stood_still", { { "ms", ms.count() } });
  mSteering.OnProcessStall(aNow);
  mIsolation.OnProcessStall(aNow);
  mRoutes.OnProcessStall();
  if (aGap >= kMinStallForRouteRead) {
    mRoutes.ReadNow();
  }
}

void FlowBalancer::Impl::EvaluateIsolation(Time aNow)
{
  std::size_t agents = mMembers.MonitoredCount();
  if (mIsolation.ShouldProbe(agents, aNow)) {
    std::vector<Address> probed;
    for (const Member& it :
         mMembers.RequestHeartbeats(IsolationWatch::kProbeCount)) {
      probed.push_back(it.mTunnel);
    }
    mIsolation.OnProbed(std::move(probed), aNow);
  }
  bool isolated = mIsolation.IsIsolated(agents, aNow);
  if (isolated != mIsolated) {
    mIsolated = isolated;
    LogEvent(LogLevel::Warning, isolated ? "isolated" : "rejoined",
             { { "agents", agents } });
  }
}

void FlowBalancer::Impl::UpdateDirectory(Time aNow)
{
  Duration age = aNow - mStartedAt;
  auto balancers = mMembers.Balancers();
  bool hasNoPeers = balancers.empty() && mMembers.Size() == 0;
  mProcess.UpdateDirectory({ .mHasNoPeers = hasNoPeers && age > kNoPeersTimeout,
                             .mHasEntry = age > kPeerDiscoveryTime &&
                                          HasDirectoryEntry(mSelf, balancers),
                             .mStoreEra = mRoutes.StoreEra() },
                           aNow);
}

void FlowBalancer::Impl::EverySecond()
{
  mProcess.EverySecond();
  auto& metrics = mProcess.mMetrics;
  metrics.GetGauge("store_heard_s_ago")
    .Set(InMs(mClock.Now() - mRoutes.LastAnswerAt()) / 1000);
  metrics.GetGauge("routes_confirmed_s_ago")
    .Set(InMs(mRoutes.Age().Current()) / 1000);
  metrics.GetGauge("routes_confirmed_s_ago_max")
    .Set(InMs(mRoutes.Age().Max()) / 1000);
  metrics.GetGauge("store_call_pending_s")
    .Set(InMs(mRoutes.PendingCallAge()) / 1000);
  metrics.GetGauge("store_era").Set(static_cast<double>(mRoutes.StoreEra()));
  metrics.GetGauge("members").Set(static_cast<double>(mMembers.Size()));
  metrics.GetGauge("routes_version")
    .Set(static_cast<double>(mRoutes.Version()));
  mProcess.Export("steer_events", SteerEvent::Last, [this](SteerEvent aEvent) {
    return mSteering.Count(aEvent);
  });
}

/** Sets the timer to the next timeout of FlowSteering. */
void FlowBalancer::Impl::ArmRetry()
{
  auto next = mSteering.NextAt();
  if (!next || (mRetryAt && *mRetryAt <= *next)) {
    return;
  }
  mRetryAt = next;
  mRetryTimer.expires_at(*next);
  mRetryTimer.async_wait([this](boost::system::error_code aEc) {
    if (aEc) {
      return;
    }
    mRetryAt.reset();
    TickSteering();
  });
}

void FlowBalancer::Impl::Stop()
{
  mStopping = true;
  mMembers.Leave();
  mProcess.StopAfter(kStopDelay);
}

FlowBalancer::FlowBalancer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

FlowBalancer::~FlowBalancer() = default;

Result<std::unique_ptr<FlowBalancer>> FlowBalancer::Make(
  const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
  ReloadSettings aReloadSettings)
{
  auto impl =
    std::make_unique<Impl>(aSettings, aAdapter, std::move(aReloadSettings));
  auto opened = impl->Open();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<FlowBalancer>(new FlowBalancer(std::move(impl)));
}

void FlowBalancer::Run()
{
  mImpl->Start();
  mImpl->mProcess.mRuntime.Run(1);
}

} // namespace heatherplank
