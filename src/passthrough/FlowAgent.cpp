#include "src/passthrough/FlowAgent.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/agent/MemberFeed.h"
#include "src/base/Log.h"
#include "src/net/HttpServer.h"
#include "src/passthrough/AnnouncementIntake.h"
#include "src/passthrough/FlowAgentOptions.h"
#include "src/passthrough/FlowQueryRelay.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/PassthroughProcess.h"
#include "src/passthrough/PastServiceMemory.h"
#include "src/wire/LocationCodec.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
constexpr auto kMetricsInterval = std::chrono::seconds(1);
/** An agent reads the directory if no balancer confirmed a heartbeat for this
 * long. Balancers reply within milliseconds, and one heartbeat may be lost. */
constexpr auto kUnconfirmedTimeout = std::chrono::milliseconds(2000);
/** kUnconfirmedTimeout for an agent that no balancer has confirmed yet. Short:
 * after a power loss the balancers named in its settings (seeds) may start
 * last, while others are up and have no hosts. */
constexpr auto kInitialUnconfirmedTimeout = std::chrono::milliseconds(40);
/** How long an agent keeps forwarding after it announced its stop, so that its
 * host can finish open flows. */
constexpr auto kStopDelay = std::chrono::milliseconds(4000);
/** The same if the host is gone: time for its last packets in flight. */
constexpr auto kStopDelayHostGone = std::chrono::milliseconds(300);

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

struct FlowAgent::Impl final
  : HostFlowsOutput
  , FlowQueryRelayOutput
{
  Impl(const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
       ReloadSettings aReloadSettings)
    : mSettings(aSettings)
    , mReloadSettings(std::move(aReloadSettings))
    , mAdapter(aAdapter)
    , mSelf(MakeSelf(aSettings))
    , mProcess({ mSettings, aAdapter, mSelf.mHost, mSelf.mIncarnation,
                 std::nullopt, [this] { return CheckReady(); },
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
    , mIntake({ aSettings.mService, aSettings.mHostInbox }, mProcess.mMetrics)
    , mQueryRelay({ mSelf.mHost, mSelf.mTunnel }, *this)
    , mPastServices(mSelf.mService, std::chrono::seconds(aSettings.mFlowsLastS))
  {
  }

  const FlowAgentSettings mSettings;
  const ReloadSettings mReloadSettings;
  const PlatformAdapter& mAdapter;
  const Member mSelf;
  PassthroughProcess mProcess;
  const Clock& mClock;
  Histogram& mOpeningTime;
  Histogram& mAnswerTime;
  MemberFeed mMembers;
  HostFlows mFlows;
  AnnouncementIntake mIntake;
  FlowQueryRelay mQueryRelay;
  PastServiceMemory mPastServices;
  std::shared_ptr<HttpServer> mHostCallServer;
  std::shared_ptr<DatagramSocket> mOutbox;
  /** State last announced to the balancers. */
  std::optional<HostState> mAnnouncedState;
  Time mFirstAnnouncedAt{};
  /** The balancers known to mProcess.mTraffic. */
  std::vector<Member> mBalancers;
  bool mStopping = false;

  Result<void> CheckReady()
  {
    if (mStopping || !mFlows.Host().IsResponsive(mClock.Now())) {
      return Fail(
        ErrorKind::Unavailable,
        mStopping ? "stopping" : "no recent announcement from the host",
        "wait for the next announcement, or check that the host runs");
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
    mHostCallServer = *calls;
    return mProcess.Open();
  }

  void Start()
  {
    mProcess.mTraffic.SetMembers(mSelf.mService, std::span(&mSelf, 1));
    mProcess.mTunnel->Start(
      [this](ByteView aDatagram, const Address&) { OnDatagram(aDatagram); });
    mOutbox->Start([this](ByteView aDatagram, const Address&) {
      mFlows.OnHostPacket(aDatagram, mClock.Now());
    });
    mProcess.mRuntime.Every(kTickInterval, [this] { Tick(); });
    mProcess.mRuntime.Every(kMetricsInterval, [this] { EverySecond(); });
    mProcess.mRuntime.OnStop([this] { Stop(); });
    mProcess.mRuntime.OnReload(
      [this] { mProcess.OnSettingsReloaded(mReloadSettings()); });
    LogEvent(LogLevel::Info, "started",
             { { "service", mSettings.mService },
               { "tunnel", mSettings.mTunnel.ToString() },
               { "host_calls", mSettings.mHostCalls.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
  }

  void Tick()
  {
    mFlows.OnTick(mClock.Now());
    mQueryRelay.OnTick(mClock.Now());
    mPastServices.OnTick(mClock.Now());
    AnnounceState();
    mMembers.Tick();
    CheckDirectory(mClock.Now());
  }

  /** Reads the directory if no balancer confirms this agent's heartbeats:
   * without confirmation the host gets no flows. */
  void CheckDirectory(Time aNow)
  {
    Time since = std::max(mFirstAnnouncedAt, mMembers.ConfirmedAt());
    Duration after = mMembers.ConfirmedAt() == Time{}
                       ? kInitialUnconfirmedTimeout
                       : kUnconfirmedTimeout;
    bool hasNoPeers = mAnnouncedState && aNow - since > after;
    mProcess.UpdateDirectory({ .mHasNoPeers = hasNoPeers }, aNow);
  }

  void EverySecond()
  {
    auto balancers = mMembers.KnownBalancers();
    if (balancers != mBalancers) {
      mProcess.mTraffic.SetMembers(BalancerService(), balancers);
      mBalancers = std::move(balancers);
    }
    mProcess.EverySecond();
    auto& metrics = mProcess.mMetrics;
    Time now = mClock.Now();
    metrics.GetGauge("host_in_progress").Set(mFlows.Condition(now).mInProgress);
    metrics.GetGauge("requests_held").Set(mFlows.RequestsHeld());
    metrics.GetGauge("host_heard_s_ago")
      .Set(InMs(now - mFlows.Host().LastAnnouncementAt()) / 1000);
    metrics.GetGauge("flows").Set(static_cast<double>(mFlows.Size()));
    mProcess.Export(
      "flow_events", HostFlowEvent::Last,
      [this](HostFlowEvent aEvent) { return mFlows.Count(aEvent); });
  }

  HttpResponse OnHostCall(const HttpRequest& aRequest)
  {
    auto announcement = mAdapter.ReadHostCall(aRequest);
    if (!announcement) {
      mIntake.OnMalformed(announcement.error(), mClock.Now());
      return mAdapter.AnswerHostCall(aRequest,
                                     tl::unexpected(announcement.error()));
    }
    return mAdapter.AnswerHostCall(aRequest, OnAnnouncement(*announcement));
  }

  Result<void> OnAnnouncement(const HostAnnouncement& aAnnouncement)
  {
    Time now = mClock.Now();
    auto checked = mIntake.Check(aAnnouncement, now);
    if (!checked) {
      return checked;
    }
    auto effect = mFlows.OnAnnouncement(aAnnouncement, now);
    if (effect == AnnouncementEffect::Changed ||
        effect == AnnouncementEffect::NewIncarnation) {
      LogEvent(
        LogLevel::Info, "host_announced",
        { { "host", aAnnouncement.mId },
          { "state", ToString(mFlows.Host().Phase()) },
          { "sequence", mFlows.Host().Sequence() },
          { "new_life", effect == AnnouncementEffect::NewIncarnation } });
    }
    AnnounceState();
    return mIntake.Conclude(aAnnouncement, effect, mFlows.Host(), now);
  }

  /** Announces a changed state of the host to the balancers. */
  void AnnounceState()
  {
    HostState now = CurrentState();
    if (!mAnnouncedState && now == HostState::Leaving) {
      return;
    }
    mMembers.SetSlots(mFlows.Host().Slots());
    if (mAnnouncedState == now) {
      return;
    }
    if (!mAnnouncedState) {
      mFirstAnnouncedAt = mClock.Now();
    }
    if (!mAnnouncedState || now > *mAnnouncedState) {
      mMembers.Announce();
      mMembers.SetState(now);
    } else {
      mMembers.BeginIncarnation(now);
    }
    mAnnouncedState = now;
  }

  HostState CurrentState() const
  {
    const HostStatus& host = mFlows.Host();
    if (host.Phase() == HostPhase::Gone || !host.IsResponsive(mClock.Now())) {
      return HostState::Leaving;
    }
    return mStopping || host.Phase() == HostPhase::Draining
             ? HostState::Draining
             : HostState::Serving;
  }

  void OnDatagram(ByteView aDatagram)
  {
    if (auto frame = mProcess.DecodeEnvelope(aDatagram)) {
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
      OnDrainNotice(DecodeDrainNotice(aFrame.mPayload));
      return;
    }
    if (aFrame.mKind == MessageKind::FlowQuery) {
      OnQuery(DecodeFlowQuery(aFrame.mPayload));
      return;
    }
    if (aFrame.mKind == MessageKind::FlowQueryReply) {
      OnQueryReply(DecodeFlowQueryReply(aFrame.mPayload));
      return;
    }
    if (aFrame.mKind == MessageKind::PastServicesRequest) {
      OnPastServicesRequest(DecodePastServicesRequest(aFrame.mPayload));
      return;
    }
    if (aFrame.mKind == MessageKind::PastServices) {
      OnPastServices(DecodePastServices(aFrame.mPayload));
      return;
    }
    auto steered =
      aFrame.mKind == MessageKind::SteeredPacket
        ? DecodeSteeredPacket(aFrame.mPayload)
        : Fail(ErrorKind::Malformed, "unexpected message kind", "");
    if (!steered || steered->mPurpose == SteerPurpose::NotHere ||
        steered->mPurpose == SteerPurpose::Locate) {
      mProcess.CountMalformed();
      return;
    }
    mFlows.OnSteered(std::move(*steered), mClock.Now());
  }

  void OnDrainNotice(const Result<DrainNotice>& aNotice)
  {
    if (!aNotice) {
      mProcess.CountMalformed();
      return;
    }
    mFlows.OnDrainNotice(*aNotice, mClock.Now());
  }

  void OnPastServicesRequest(const Result<PastServicesRequest>& aRequest)
  {
    if (!aRequest) {
      mProcess.CountMalformed();
      return;
    }
    mProcess.mMessages.Send(aRequest->mSender, MessageKind::PastServices,
                            EncodePayload(mPastServices.List(mClock.Now())));
  }

  void OnPastServices(const Result<PastServices>& aList)
  {
    if (!aList) {
      mProcess.CountMalformed();
      return;
    }
    mPastServices.OnList(*aList, mClock.Now());
  }

  void OnQuery(const Result<FlowQuery>& aQuery)
  {
    if (!aQuery) {
      mProcess.CountMalformed();
      return;
    }
    mQueryRelay.OnQuery(*aQuery, mClock.Now());
  }

  void OnQueryReply(const Result<FlowQueryReply>& aReply)
  {
    if (!aReply) {
      mProcess.CountMalformed();
      return;
    }
    mQueryRelay.OnReply(*aReply);
  }

  FlowOutcome Answer(const QueriedFlow& aFlow) override
  {
    return mFlows.Answer(aFlow, mClock.Now());
  }

  bool IsUnknownBecauseUnobserved(const FlowKey& aFlow) override
  {
    return mFlows.IsUnknownBecauseUnobserved(aFlow, mClock.Now());
  }

  std::optional<HostAges> Ages() override { return mFlows.Ages(mClock.Now()); }

  std::optional<Duration> AgeAfterCommonStart() override
  {
    return mFlows.AgeAfterCommonStart(mClock.Now());
  }

  void Query(const Address& aAgent, const FlowQuery& aQuery) override
  {
    mProcess.Query(aAgent, aQuery);
  }

  void Reply(const Address& aAsker, const FlowQueryReply& aReply) override
  {
    mProcess.Reply(aAsker, aReply);
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

  void RecordDuration(HostTiming aTiming, Duration aTook) override
  {
    auto& histogram =
      aTiming == HostTiming::Opening ? mOpeningTime : mAnswerTime;
    histogram.Record(InMs(aTook));
  }

  void Stop()
  {
    mStopping = true;
    mFlows.Leave(mClock.Now());
    AnnounceState();
    bool hostEnded = mFlows.Host().Phase() == HostPhase::Gone;
    mProcess.StopAfter(hostEnded ? kStopDelayHostGone : kStopDelay);
  }
};

FlowAgent::FlowAgent(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

FlowAgent::~FlowAgent() = default;

Result<std::unique_ptr<FlowAgent>> FlowAgent::Make(
  const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
  ReloadSettings aReloadSettings)
{
  auto impl =
    std::make_unique<Impl>(aSettings, aAdapter, std::move(aReloadSettings));
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
