#include "src/balancer/Balancer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include "src/admin/AdminApi.h"
#include "src/balancer/ConfigPlane.h"
#include "src/balancer/MemberPlane.h"
#include "src/balancer/PacketRouter.h"
#include "src/balancer/RouteTable.h"
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
#include "src/status/StatusPublisher.h"
#include "src/store/HttpObjectStore.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/SteerCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
constexpr auto kStatusInterval = std::chrono::seconds(1);
/** How long a stopping balancer continues to route packets. The fabric polls
 * /readyz every one or two seconds, and packets that it sends until then must
 * not be lost. */
constexpr auto kStopDelay = std::chrono::milliseconds(2500);

Member MakeSelf(const BalancerSettings& aSettings)
{
  Member self;
  self.mHost = MakeHostId(aSettings.mName);
  self.mDataCentre = MakeDataCentreId(aSettings.mDataCentre);
  self.mIncarnation = WallClockMicroseconds();
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

} // namespace

struct Balancer::Impl
{
  explicit Impl(const BalancerSettings& aSettings)
    : mSettings(aSettings)
    , mSelf(MakeSelf(aSettings))
    , mMalformed(
        mMetrics.GetCounter("packets_refused_total", "reason=\"malformed\""))
    , mLinks({ mRuntime.Executor(), mClock, mMetrics, mCuts },
             { mSelf.mHost, mSelf.mControl },
             [this](const Hello& aFrom, const Frame& aFrame) {
               OnFrame(aFrom, aFrame);
             })
    , mRouter(mMetrics, aSettings.mTunnel, aSettings.mMaxHints)
    , mStore(mRuntime.Executor(), aSettings.mPlatform, {})
    , mMembers({ mClock, mMetrics, mLinks,
                 [this](auto aViews, auto aServices) {
                   mRouter.SetRoutes(mRoutes.SetViews(aViews, aServices));
                 } },
               mSelf, MemberPlane::DefaultOptions(aSettings.mPeers))
    , mConfig({ mClock, mMetrics, mLinks, mStore,
                [this](const ConfigurationPtr& aConfiguration) {
                  mStatus.OnInForce(aConfiguration->mVersion, mClock.Now());
                  mMetrics.GetGauge("configuration_version")
                    .Set(static_cast<double>(aConfiguration->mVersion));
                  mMembers.SetConfiguration(*aConfiguration);
                  mRouter.SetRoutes(mRoutes.SetConfiguration(aConfiguration));
                } },
              mSelf)
    , mAdmin(mMetrics, [this] { return Ready(); })
  {
  }

  const BalancerSettings mSettings;
  const Member mSelf;
  SteadyClock mClock;
  MetricsRegistry mMetrics;
  CutList mCuts;
  ProcessRuntime mRuntime;
  Counter& mMalformed;
  ControlLinks mLinks;
  RouteTable mRoutes;
  PacketRouter mRouter;
  HttpObjectStore mStore;
  MemberPlane mMembers;
  ConfigPlane mConfig;
  AdminServer mAdmin;
  StatusSender mStatus{ mSettings, "balancer" };
  std::unique_ptr<AdminApi> mApi;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::mutex mStatusAggregatorsLock;
  /** Status aggregators of this balancer, by key. */
  std::map<std::string, std::shared_ptr<StatusPublisher>> mStatusAggregators;
  std::atomic<bool> mStopping{ false };

  Result<void> Ready()
  {
    if (mStopping) {
      return Fail(ErrorKind::Unavailable, "stopping",
                  "send packets to another balancer");
    }
    if (!mConfig.Current()) {
      return Fail(ErrorKind::Unavailable, "no configuration yet",
                  "apply one, or check the platform's object store and the "
                  "peers");
    }
    MembershipReadiness members = mMembers.Readiness();
    if (members != MembershipReadiness::Ready) {
      return Fail(ErrorKind::Unavailable,
                  "membership is " + std::string(ToString(members)),
                  "wait for a peer's snapshot or for heartbeats, or repair the "
                  "network");
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
    if (!mSettings.mTokenFile.empty()) {
      auto tokens = AdminTokens::Read(mSettings.mTokenFile);
      if (!tokens) {
        return tl::unexpected(tokens.error());
      }
      mApi = std::make_unique<AdminApi>(std::move(*tokens), mStore, mMetrics);
      mAdmin.Mount(AdminApi::kPrefix,
                   [this](HttpRequest aRequest, HttpServer::Respond aRespond) {
                     mApi->Handle(std::move(aRequest), std::move(aRespond));
                   });
    }
    return mAdmin.Start(executor, mSettings.mAdmin);
  }

  void Start()
  {
    mTunnel->Start(
      [this](ByteView aDatagram, const Address&) { OnDatagram(aDatagram); });
    mRuntime.Every(kTickInterval, [this] { Tick(); });
    mRuntime.Every(kStatusInterval, [this] {
      mLinks.Tick();
      SendStatus();
    });
    mRuntime.OnStop([this] { Stop(); });
    LogEvent(LogLevel::Info, "started",
             { { "tunnel", mSettings.mTunnel.ToString() },
               { "control", mSettings.mControl.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
  }

  void Tick()
  {
    mMembers.Tick();
    mConfig.SetPeers(mMembers.Balancers());
    mConfig.Tick();
    // A balancer that isn't ready drops packets silently. If it answered with
    // unknown_service, the caller would give up a request whose copy may have
    // reached a host through another balancer.
    mRouter.SetReady(mConfig.Current() != nullptr &&
                     mMembers.Readiness() != MembershipReadiness::Starting);
    mMetrics.GetGauge("members").Set(static_cast<double>(mMembers.Size()));
    mMetrics.GetGauge("control_bytes_sent")
      .Set(static_cast<double>(mLinks.BytesSent()));
    mMetrics.GetGauge("control_bytes_received")
      .Set(static_cast<double>(mLinks.BytesReceived()));
  }

  void OnDatagram(ByteView aDatagram)
  {
    auto frame = DecodeDatagram(aDatagram);
    if (!frame) {
      mMalformed.Add();
      return;
    }
    if (frame->mKind == MessageKind::Packet) {
      OnPacket(frame->mPayload);
    } else if (frame->mKind == MessageKind::Hint) {
      OnHint(*frame);
    } else {
      mMalformed.Add();
    }
  }

  void OnPacket(ByteView aPayload)
  {
    auto packet = DecodePacket(aPayload);
    if (!packet) {
      mMalformed.Add();
      return;
    }
    if (auto out = mRouter.OnPacket(*packet)) {
      mTunnel->Send(out->mDatagram, out->mTo);
    }
  }

  void OnHint(const Frame& aFrame)
  {
    auto message = DecodeOwnershipMessage(aFrame.mKind, aFrame.mPayload);
    const Hint* hint = message ? std::get_if<Hint>(&*message) : nullptr;
    if (hint == nullptr) {
      mMalformed.Add();
      return;
    }
    mRouter.OnHint(hint->mFlow,
                   { hint->mOwner.mHost, hint->mOwner.mIncarnation });
  }

  void OnFrame(const Hello& aFrom, const Frame& aFrame)
  {
    if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
      return;
    }
    if (aFrame.mKind == MessageKind::StatusReport) {
      auto report = DecodeStatusReport(aFrame.mPayload);
      if (report) {
        RecordStatus(*report);
      } else {
        mMalformed.Add();
      }
      return;
    }
    mConfig.OnFrame(aFrom, aFrame);
  }

  /** Sends this process's status to the balancer that publishes it, and writes
   * the status aggregators of this balancer. */
  void SendStatus()
  {
    std::vector<Member> balancers = mMembers.Balancers();
    balancers.push_back(mSelf);
    if (auto due = mStatus.Tick(balancers, mClock.Now())) {
      if (due->mStoringBalancer.mHost == mSelf.mHost) {
        RecordStatus(due->mReport);
      } else {
        mLinks.Send(due->mStoringBalancer.mControl, MessageKind::StatusReport,
                    EncodeStatusReport(due->mReport));
      }
    }
    std::lock_guard lock(mStatusAggregatorsLock);
    for (const auto& [key, aggregator] : mStatusAggregators) {
      aggregator->Tick(mClock.Now());
    }
  }

  void RecordStatus(const StatusReport& aReport)
  {
    std::uint32_t shards = CountStatusShards(mMembers.Balancers().size() + 1);
    std::string key = StatusKey(aReport.mProcess.mDataCentre,
                                StatusShardOf(aReport.mProcess.mName, shards));
    std::lock_guard lock(mStatusAggregatorsLock);
    auto& aggregator = mStatusAggregators[key];
    if (!aggregator) {
      StatusAggregator::Options options;
      options.mKey = key;
      options.mWriter =
        mSettings.mName + "." + std::to_string(mSelf.mIncarnation);
      aggregator = StatusPublisher::Make(mStore, std::move(options));
    }
    aggregator->OnReport(aReport);
  }

  void Stop()
  {
    mStopping = true;
    mMembers.Leave();
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mRuntime.Executor(), kStopDelay);
    timer->async_wait([this, timer](boost::system::error_code) {
      LogEvent(LogLevel::Info, "stopped", {});
      mRuntime.Quit();
    });
  }
};

Balancer::Balancer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Balancer::~Balancer() = default;

Result<std::unique_ptr<Balancer>> Balancer::Make(
  const BalancerSettings& aSettings, bool aFaultInjection)
{
  auto impl = std::make_unique<Impl>(aSettings);
  auto opened = impl->Open(aFaultInjection);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<Balancer>(new Balancer(std::move(impl)));
}

void Balancer::Run()
{
  mImpl->Start();
  mImpl->mRuntime.Run(mImpl->mSettings.mThreads);
}

} // namespace heatherplank
