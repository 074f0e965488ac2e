#include "src/passthrough/FlowAgent.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/agent/MemberFeed.h"
#include "src/base/Log.h"
#include "src/net/HttpServer.h"
#include "src/passthrough/HeartbeatRule.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/PassthroughProcess.h"
#include "src/process/WallClock.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr auto kSecond = std::chrono::seconds(1);
/** Announcements that a host may miss before it counts as silent. */
constexpr int kMissedAnnouncements = 3;
/** Heartbeats are answered within milliseconds, and one of them may be lost; an
 * agent that no balancer answered for this long looks into the directory. */
constexpr auto kLostAfter = std::chrono::milliseconds(2000);
/** The same for an agent that no balancer answered yet: after a power loss the
 * seeds may be the last to start, and others wait for hosts meanwhile. */
constexpr auto kLostAtStartAfter = std::chrono::milliseconds(40);
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
  self.mIncarnation =
    WallClockMicroseconds(std::chrono::milliseconds(aSettings.mClockOffsetMs));
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

AgentMembershipOptions MakeMembershipOptions(std::vector<Address> aSeeds)
{
  AgentMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  options.mHeartbeatEvery = kHeartbeatEvery;
  options.mMonitors = kMonitorRule;
  options.mWantsPeers = false;
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
    , mProcess({ mSettings, aAdapter, mSelf.mHost, mSelf.mIncarnation,
                 std::nullopt, [this] { return Ready(); },
                 [this](const Frame& aFrame) { OnFrame(aFrame); },
                 [this](std::vector<Address> aSeeds) {
                   mMembers.SetSeeds(std::move(aSeeds));
                 } })
    , mClock(mProcess.mClock)
    , mOpeningTime(mProcess.mMetrics.GetHistogram("opening_ms"))
    , mAnswerTime(mProcess.mMetrics.GetHistogram("answer_ms"))
    , mMembers({ mClock, mProcess.mMetrics, mProcess.mMessages, {} }, mSelf,
               MakeMembershipOptions(aSettings.mSeeds))
    , mFlows(MakeFlowOptions(aSettings, mSelf), aAdapter.Packets(), *this,
             mClock.Now())
  {
  }

  const FlowAgentSettings mSettings;
  const Reread mReread;
  const PlatformAdapter& mAdapter;
  const Member mSelf;
  PassthroughProcess mProcess;
  const Clock& mClock;
  Histogram& mOpeningTime;
  Histogram& mAnswerTime;
  MemberFeed mMembers;
  HostFlows mFlows;
  std::shared_ptr<HttpServer> mHostCalls;
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
    auto executor = mProcess.mRuntime.Executor();
    auto outbox =
      DatagramSocket::Make(executor, mSettings.mHostOutbox, &mProcess.mCuts);
    if (!outbox) {
      return tl::unexpected(outbox.error());
    }
    mOutbox = *outbox;
    auto calls = HttpServer::Make(
      executor, mSettings.mHostCalls,
      [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        aRespond(OnHostCall(aRequest));
      },
      [this] { mProcess.CountMalformed(); });
    if (!calls) {
      return tl::unexpected(calls.error());
    }
    mHostCalls = *calls;
    return mProcess.Open();
  }

  void Start()
  {
    mProcess.mTunnel->Start(
      [this](ByteView aDatagram, const Address&) { OnDatagram(aDatagram); });
    mOutbox->Start([this](ByteView aDatagram, const Address&) {
      mFlows.OnHostPacket(aDatagram, mClock.Now());
    });
    mProcess.mRuntime.Every(kTick, [this] { Tick(); });
    mProcess.mRuntime.Every(kSecond, [this] { EverySecond(); });
    mProcess.mRuntime.OnStop([this] { Stop(); });
    mProcess.mRuntime.OnReload([this] { mProcess.OnReread(mReread()); });
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
    Time since = std::max(mAnnouncedAt, mMembers.ConfirmedAt());
    Duration after =
      mMembers.ConfirmedAt() == Time{} ? kLostAtStartAfter : kLostAfter;
    mProcess.TendDirectory(mAnnounced && aNow - since > after, aNow);
  }

  void EverySecond()
  {
    mProcess.EverySecond();
    auto& metrics = mProcess.mMetrics;
    Time now = mClock.Now();
    metrics.GetGauge("host_in_progress").Set(mFlows.Condition(now).mInProgress);
    metrics.GetGauge("host_heard_s_ago")
      .Set(InMs(now - mFlows.Host().HeardAt()) / 1000);
    metrics.GetGauge("flows").Set(static_cast<double>(mFlows.Size()));
    mProcess.Export(
      "flow_events", HostFlowEvent::Last,
      [this](HostFlowEvent aEvent) { return mFlows.Count(aEvent); });
  }

  HttpResponse OnHostCall(const HttpRequest& aRequest)
  {
    auto announcement = mAdapter.ReadHostCall(aRequest);
    if (!announcement) {
      mProcess.mMetrics.GetCounter("host_calls_refused_total").Add();
      return mAdapter.AnswerHostCall(aRequest,
                                     tl::unexpected(announcement.error()));
    }
    if (!announcement->mService.empty() &&
        announcement->mService != mSettings.mService) {
      mProcess.mMetrics.GetCounter("host_calls_refused_total").Add();
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
    if (auto frame = mProcess.Unwrap(aDatagram)) {
      OnFrame(*frame);
    }
  }

  void OnFrame(const Frame& aFrame)
  {
    if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
      return;
    }
    if (aFrame.mKind == MessageKind::DrainNotice) {
      Take(DecodeDrainNotice(aFrame.mPayload));
      return;
    }
    auto steered = aFrame.mKind == MessageKind::SteeredPacket
                     ? DecodeSteeredPacket(aFrame.mPayload)
                     : Fail(ErrorKind::Malformed, "unknown kind", "");
    if (!steered || steered->mPurpose == SteerPurpose::NotHere) {
      mProcess.CountMalformed();
      return;
    }
    mFlows.OnSteered(std::move(*steered), mClock.Now());
  }

  void Take(const Result<DrainNotice>& aNotice)
  {
    if (!aNotice) {
      mProcess.CountMalformed();
      return;
    }
    mFlows.OnDrainNotice(*aNotice, mClock.Now());
  }

  void ToHost(ByteView aPacket) override
  {
    mOutbox->Send(aPacket, mSettings.mHostInbox);
  }

  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mProcess.ToCaller(aCaller, aPacket);
  }

  void Steer(const Address& aTo, const SteeredPacket& aPacket) override
  {
    mProcess.Steer(aTo, aPacket);
  }

  void Report(const Address& aBalancer, const PlacementReport& aReport) override
  {
    mProcess.Report(aBalancer, aReport);
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
    mProcess.StopAfter(hostEnded ? kStopAfterHost : kStopAfter);
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
  mImpl->mProcess.mRuntime.Run(1);
}

} // namespace heatherplank
