#include "src/balancer/Balancer.h"

#include <atomic>
#include <utility>
#include <variant>
#include <vector>

#include "src/balancer/MemberPlane.h"
#include "src/balancer/PacketRouter.h"
#include "src/balancer/RouteTable.h"
#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/ControlClient.h"
#include "src/net/ControlServer.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/process/AdminServer.h"
#include "src/process/ConfigPlane.h"
#include "src/process/ProcessRuntime.h"
#include "src/wire/SteerCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
/** How long a balancer goes on routing after it said that it stops: the fabric
 * looks at /readyz every second or two, and what it sends until it has seen
 * must not be lost. */
constexpr auto kStopAfter = std::chrono::milliseconds(2500);

} // namespace

struct Balancer::Impl
{
  Impl(const BalancerSettings& aSettings)
    : mSettings(aSettings)
    , mMalformed(
        mMetrics.GetCounter("packets_refused_total", "reason=\"malformed\""))
    , mRouter(mMetrics, aSettings.mTunnel, aSettings.mMaxHints)
    , mMembers(mClock, mMetrics,
               [this](auto aViews, auto aServices) {
                 mRouter.SetRoutes(mRoutes.SetViews(aViews, aServices));
               })
    , mAdmin(mMetrics, [this] { return Ready(); })
  {
  }

  const BalancerSettings mSettings;
  SteadyClock mClock;
  MetricsRegistry mMetrics;
  CutList mCuts;
  ProcessRuntime mRuntime;
  Counter& mMalformed;
  RouteTable mRoutes;
  PacketRouter mRouter;
  MemberPlane mMembers;
  AdminServer mAdmin;
  std::unique_ptr<ConfigPlane> mConfig;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::shared_ptr<ControlServer> mControl;
  std::vector<std::shared_ptr<ControlClient>> mPeers;
  std::atomic<bool> mStopping{ false };

  Result<void> Ready()
  {
    if (mStopping) {
      return Fail(ErrorKind::Unavailable, "stopping",
                  "send packets to another balancer");
    }
    if (!mConfig->Current()) {
      return Fail(ErrorKind::Unavailable, "no configuration yet",
                  "apply one, or look at the platform and the peers");
    }
    if (!mMembers.IsUsable()) {
      return Fail(ErrorKind::Unavailable, "the view of members is not whole",
                  "wait for a peer's snapshot or for heartbeats");
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
    ControlConnection::Events events;
    events.mFrame = [this](const auto& aConnection, const Frame& aFrame) {
      OnFrame(aConnection, aFrame);
    };
    events.mClosed = [this](const auto& aConnection, const Error& aWhy) {
      OnClosed(aConnection, aWhy);
    };
    auto control =
      ControlServer::Make(executor, mSettings.mControl, std::move(events));
    if (!control) {
      return tl::unexpected(control.error());
    }
    mControl = *control;
    if (aFaultInjection) {
      mAdmin.MountFaults(mCuts);
    }
    return mAdmin.Start(executor, mSettings.mAdmin);
  }

  void Start()
  {
    for (const auto& it : mSettings.mPeers) {
      mPeers.push_back(MakePeer(it));
    }
    mMembers.SetPeers(mPeers);
    mTunnel->Start(
      [this](ByteView aDatagram, const Address&) { OnDatagram(aDatagram); });
    mConfig = std::make_unique<ConfigPlane>(
      mRuntime.Executor(), mSettings, mClock, mMetrics,
      [this](ConfigurationPtr aConfiguration) {
        mMembers.SetConfiguration(aConfiguration);
        mRouter.SetRoutes(mRoutes.SetConfiguration(std::move(aConfiguration)));
      });
    mRuntime.Every(kTick, [this] {
      mMembers.Tick();
      mConfig->Tick();
      mMetrics.GetGauge("members").Set(static_cast<double>(mMembers.Size()));
    });
    mRuntime.OnStop([this] { Stop(); });
    LogEvent(LogLevel::Info, "started",
             { { "tunnel", mSettings.mTunnel.ToString() },
               { "control", mSettings.mControl.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
  }

  std::shared_ptr<ControlClient> MakePeer(const Address& aAddress)
  {
    ControlClient::Events events;
    events.mConnected = [this](const ControlConnection::Ptr& aConnection) {
      mMembers.OnPeerConnected(aConnection);
    };
    events.mFrame = [this](const auto& aConnection, const Frame& aFrame) {
      OnFrame(aConnection, aFrame);
    };
    return ControlClient::Make(mRuntime.Executor(), aAddress, &mCuts,
                               std::move(events));
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

  void OnFrame(const ControlConnection::Ptr& aConnection, const Frame& aFrame)
  {
    if (!mMembers.OnFrame(aConnection, aFrame) &&
        !mConfig->OnFrame(aConnection, aFrame)) {
      mMetrics.GetCounter("messages_refused_total", "reason=\"unknown_kind\"")
        .Add();
    }
  }

  void OnClosed(const ControlConnection::Ptr& aConnection, const Error& aWhy)
  {
    if (aWhy.mKind != ErrorKind::Unavailable) {
      mMetrics
        .GetCounter("messages_refused_total",
                    "reason=\"" + std::string(ToString(aWhy.mKind)) + "\"")
        .Add();
    }
    mMembers.OnClosed(aConnection);
  }

  void Stop()
  {
    mStopping = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mRuntime.Executor(), kStopAfter);
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
