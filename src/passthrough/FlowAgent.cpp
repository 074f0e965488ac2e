#include "src/passthrough/FlowAgent.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/agent/MemberFeed.h"
#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpServer.h"
#include "src/passthrough/BalancerDirectory.h"
#include "src/passthrough/HostFlows.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"
#include "src/process/DatagramMessages.h"
#include "src/process/ProcessRuntime.h"
#include "src/process/WallClock.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr auto kSecond = std::chrono::seconds(1);
constexpr auto kHeartbeatEvery = std::chrono::milliseconds(500);
/** Announcements that a host may miss before it counts as silent. */
constexpr int kMissedAnnouncements = 3;
/** Heartbeats are answered within milliseconds, and one of them may be lost; an
 * agent that no balancer answered for this long looks into the directory. */
constexpr auto kLostAfter = std::chrono::milliseconds(2000);
/** How long an agent goes on forwarding after it said that it stops, for the
 * flows that its host works on. */
constexpr auto kStopAfter = std::chrono::milliseconds(4000);
/** The same where the host has ended: for its last packets on the way. */
constexpr auto kStopAfterHost = std::chrono::milliseconds(300);

Member MakeSelf(const FlowAgentSettings& aSettings)
{
  Member self;
  self.mHost = MakeHostId(aSettings.mName);
  self.mService = MakeServiceId(aSettings.mService);
  self.mDataCentre = MakeDataCentreId(aSettings.mDataCentre);
  self.mIncarnation = WallClockMicroseconds();
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

AgentMembershipOptions MakeMembershipOptions(std::vector<Address> aSeeds)
{
  AgentMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  options.mHeartbeatEvery = kHeartbeatEvery;
  return options;
}

HostFlows::Options MakeFlowOptions(const FlowAgentSettings& aSettings,
                                   const Member& aSelf)
{
  HostFlows::Options options;
  options.mHost = aSelf.mHost;
  options.mSelf = aSelf.mTunnel;
  options.mService = aSelf.mService;
  options.mMaxFlows = aSettings.mMaxFlows;
  options.mFlowsLastFor = std::chrono::seconds(aSettings.mFlowsLastS);
  options.mSilentAfter = kMissedAnnouncements *
                         std::chrono::milliseconds(aSettings.mHostHeartbeatMs);
  return options;
}

std::string_view ToString(HostPhase aPhase)
{
  switch (aPhase) {
    case HostPhase::Ready:
      return "ready";
    case HostPhase::Draining:
      return "draining";
    case HostPhase::Gone:
      return "gone";
  }
  return "unknown";
}

} // namespace

struct FlowAgent::Impl final : HostFlowsOutput
{
  Impl(const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
       Reread aReread)
    : mSettings(aSettings)
    , mReread(std::move(aReread))
    , mAdapter(aAdapter)
    , mSelf(MakeSelf(aSettings))
    , mMalformed(
        mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\""))
    , mOpeningTime(mMetrics.GetHistogram("opening_ms"))
    , mAnswerTime(mMetrics.GetHistogram("answer_ms"))
    , mLinks({ mRuntime.Executor(), mClock, mMetrics, mCuts },
             { mSelf.mHost, mSelf.mControl },
             [this](const Hello&, const Frame& aFrame) { OnFrame(aFrame); })
    , mMessages(mLinks)
    , mMembers({ mClock, mMetrics, mMessages, {} }, mSelf,
               MakeMembershipOptions(aSettings.mSeeds))
    , mFlows(MakeFlowOptions(aSettings, mSelf), aAdapter.Packets(), *this,
             mClock.Now())
    , mStore(aAdapter.MakeStore(mRuntime.Executor(), aSettings.mPlatform))
    , mDirectory(BalancerDirectory::Make(
        *mStore, { aSettings.mDirectory, std::nullopt, mSelf.mIncarnation },
        [this](std::vector<Address> aFound) { AddSeeds(std::move(aFound)); }))
    , mSeeds(aSettings.mSeeds)
    , mAdmin(mMetrics, [this] { return Ready(); })
  {
  }

  const FlowAgentSettings mSettings;
  const Reread mReread;
  const PlatformAdapter& mAdapter;
  const Member mSelf;
  SteadyClock mClock;
  MetricsRegistry mMetrics;
  CutList mCuts;
  ProcessRuntime mRuntime;
  Counter& mMalformed;
  Histogram& mOpeningTime;
  Histogram& mAnswerTime;
  ControlLinks mLinks;
  DatagramMessages mMessages;
  MemberFeed mMembers;
  HostFlows mFlows;
  std::unique_ptr<ObjectStore> mStore;
  std::shared_ptr<BalancerDirectory> mDirectory;
  /** Of the settings in force. */
  std::vector<Address> mSeeds;
  AdminServer mAdmin;
  std::shared_ptr<HttpServer> mHostCalls;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::shared_ptr<DatagramSocket> mOutbox;
  /** What the balancers were told last. */
  std::optional<HostState> mAnnounced;
  Time mAnnouncedAt{};
  bool mStopping = false;

  Result<void> Ready()
  {
    if (mStopping || !mFlows.Host().IsHeard(mClock.Now())) {
      return Fail(ErrorKind::Unavailable,
                  mStopping ? "stopping" : "the host was not heard",
                  "wait, or look at the host");
    }
    return {};
  }

  Result<void> Open()
  {
    auto executor = mRuntime.Executor();
    auto tunnel = DatagramSocket::Make(executor, mSettings.mTunnel, &mCuts);
    if (!tunnel) {
      return tl::unexpected(tunnel.error());
    }
    mTunnel = *tunnel;
    mMessages.SetSocket(mTunnel);
    auto outbox = DatagramSocket::Make(executor, mSettings.mHostOutbox, &mCuts);
    if (!outbox) {
      return tl::unexpected(outbox.error());
    }
    mOutbox = *outbox;
    auto calls = HttpServer::Make(
      executor, mSettings.mHostCalls,
      [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        aRespond(OnHostCall(aRequest));
      },
      [this] { mMalformed.Add(); });
    if (!calls) {
      return tl::unexpected(calls.error());
    }
    mHostCalls = *calls;
    auto listening = mLinks.Listen();
    if (!listening) {
      return listening;
    }
    auto admin = mAdmin.Start(executor, mSettings.mAdmin);
    if (!admin || mSettings.mMetrics.IsNone()) {
      return admin;
    }
    return mAdmin.Start(executor, mSettings.mMetrics);
  }

  void Start()
  {
    mTunnel->Start(
      [this](ByteView aDatagram, const Address&) { OnDatagram(aDatagram); });
    mOutbox->Start([this](ByteView aDatagram, const Address&) {
      mFlows.OnHostPacket(aDatagram, mClock.Now());
    });
    mRuntime.Every(kTick, [this] { Tick(); });
    mRuntime.Every(kSecond, [this] { EverySecond(); });
    mRuntime.OnStop([this] { Stop(); });
    mRuntime.OnReload([this] { Reload(); });
    LogEvent(LogLevel::Info, "started",
             { { "service", mSettings.mService },
               { "tunnel", mSettings.mTunnel.ToString() },
               { "host_calls", mSettings.mHostCalls.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
  }

  void Tick()
  {
    mFlows.OnTick(mClock.Now());
    TellState();
    mMembers.Tick();
    TendDirectory(mClock.Now());
  }

  /** A host that no balancer answers for gets no flow. */
  void TendDirectory(Time aNow)
  {
    if (mSettings.mDirectory.empty() || !mAnnounced) {
      return;
    }
    Time since = std::max(mAnnouncedAt, mMembers.ConfirmedAt());
    mDirectory->OnTick(aNow - since > kLostAfter, aNow);
  }

  void AddSeeds(std::vector<Address> aFound)
  {
    aFound.insert(aFound.end(), mSeeds.begin(), mSeeds.end());
    mMembers.SetSeeds(std::move(aFound));
  }

  void EverySecond()
  {
    mLinks.Tick();
    mMetrics.GetGauge("log_lines_dropped")
      .Set(static_cast<double>(DroppedLogLines()));
    mMetrics.GetGauge("host_in_progress")
      .Set(mFlows.Condition(mClock.Now()).mInProgress);
    mMetrics.GetGauge("host_heard_s_ago")
      .Set(InMs(mClock.Now() - mFlows.Host().HeardAt()) / 1000);
    mMetrics.GetGauge("flows").Set(static_cast<double>(mFlows.Size()));
    for (std::size_t i = 0; i <= static_cast<std::size_t>(HostFlowEvent::Last);
         ++i) {
      auto event = static_cast<HostFlowEvent>(i);
      std::string label = "event=\"";
      label.append(heatherplank::ToString(event)).append("\"");
      mMetrics.GetGauge("flow_events", label)
        .Set(static_cast<double>(mFlows.Count(event)));
    }
  }

  HttpResponse OnHostCall(const HttpRequest& aRequest)
  {
    auto announcement = mAdapter.ReadHostCall(aRequest);
    if (!announcement) {
      mMetrics.GetCounter("host_calls_refused_total").Add();
      return mAdapter.AnswerHostCall(aRequest,
                                     tl::unexpected(announcement.error()));
    }
    if (!announcement->mService.empty() &&
        announcement->mService != mSettings.mService) {
      mMetrics.GetCounter("host_calls_refused_total").Add();
      return mAdapter.AnswerHostCall(
        aRequest,
        Fail(ErrorKind::Forbidden,
             "service " + announcement->mService + " is not served here",
             "announce the host to the agent beside it"));
    }
    auto effect = mFlows.OnAnnouncement(*announcement, mClock.Now());
    if (effect == AnnouncementEffect::Changed ||
        effect == AnnouncementEffect::NewLife) {
      LogEvent(LogLevel::Info, "host_announced",
               { { "host", announcement->mId },
                 { "state", ToString(mFlows.Host().Phase()) },
                 { "sequence", mFlows.Host().Sequence() },
                 { "new_life", effect == AnnouncementEffect::NewLife } });
    }
    TellState();
    return mAdapter.AnswerHostCall(aRequest, {});
  }

  /** Announces to the balancers what became of the host. */
  void TellState()
  {
    HostState now = CurrentState();
    if (!mAnnounced && now == HostState::Leaving) {
      return;
    }
    mMembers.SetSlots(mFlows.Host().Slots());
    if (mAnnounced == now) {
      return;
    }
    if (!mAnnounced) {
      mAnnouncedAt = mClock.Now();
    }
    if (!mAnnounced || now > *mAnnounced) {
      mMembers.Announce();
      mMembers.SetState(now);
    } else {
      mMembers.BeginLife(now);
    }
    mAnnounced = now;
  }

  HostState CurrentState() const
  {
    const HostLife& host = mFlows.Host();
    if (host.Phase() == HostPhase::Gone || !host.IsHeard(mClock.Now())) {
      return HostState::Leaving;
    }
    return mStopping || host.Phase() == HostPhase::Draining
             ? HostState::Draining
             : HostState::Serving;
  }

  void OnDatagram(ByteView aDatagram)
  {
    auto frame = DecodeDatagram(aDatagram);
    if (!frame) {
      mMalformed.Add();
      return;
    }
    OnFrame(*frame);
  }

  void OnFrame(const Frame& aFrame)
  {
    if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
      return;
    }
    auto steered = aFrame.mKind == MessageKind::SteeredPacket
                     ? DecodeSteeredPacket(aFrame.mPayload)
                     : Fail(ErrorKind::Malformed, "unknown kind", "");
    if (!steered || steered->mPurpose == SteerPurpose::NotHere) {
      mMalformed.Add();
      return;
    }
    mFlows.OnSteered(std::move(*steered), mClock.Now());
  }

  void ToHost(ByteView aPacket) override
  {
    mOutbox->Send(aPacket, mSettings.mHostInbox);
  }

  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    Address to = aCaller;
    to.mPort = mSettings.mCallerPort == 0 ? to.mPort : mSettings.mCallerPort;
    mTunnel->Send(aPacket, to);
  }

  void Steer(const Address& aTo, const SteeredPacket& aPacket) override
  {
    mTunnel->Send(
      EncodeDatagram(MessageKind::SteeredPacket, EncodePayload(aPacket)), aTo);
  }

  void Report(const Address& aBalancer, const PlacementReport& aReport) override
  {
    mTunnel->Send(
      EncodeDatagram(MessageKind::PlacementReport, EncodePayload(aReport)),
      aBalancer);
  }

  /** Seeds are taken over; everything else is bound to open ports and waits for
   * a restart. Settings that can't be read change nothing. */
  void Reload()
  {
    auto settings = mReread();
    if (!settings) {
      LogEvent(LogLevel::Error, "settings_refused",
               { { "why", settings.error().Describe() } });
      return;
    }
    mSeeds = settings->mSeeds;
    mMembers.SetSeeds(mSeeds);
    LogEvent(LogLevel::Info, "settings_reloaded",
             { { "seeds", settings->mSeeds.size() } });
  }

  void Measured(HostTiming aTiming, Duration aTook) override
  {
    auto& histogram =
      aTiming == HostTiming::Opening ? mOpeningTime : mAnswerTime;
    histogram.Record(InMs(aTook));
  }

  void Stop()
  {
    mStopping = true;
    mFlows.Leave();
    TellState();
    bool hostEnded = mFlows.Host().Phase() == HostPhase::Gone;
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mRuntime.Executor(), hostEnded ? kStopAfterHost : kStopAfter);
    timer->async_wait([this, timer](boost::system::error_code) {
      LogEvent(LogLevel::Info, "stopped", {});
      mRuntime.Quit();
    });
  }
};

FlowAgent::FlowAgent(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

FlowAgent::~FlowAgent() = default;

Result<std::unique_ptr<FlowAgent>> FlowAgent::Make(
  const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
  Reread aReread)
{
  auto impl = std::make_unique<Impl>(aSettings, aAdapter, std::move(aReread));
  auto opened = impl->Open();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<FlowAgent>(new FlowAgent(std::move(impl)));
}

void FlowAgent::Run()
{
  mImpl->Start();
  mImpl->mRuntime.Run(1);
}

} // namespace heatherplank
