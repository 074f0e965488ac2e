#include "src/passthrough/FlowBalancer.h"

#include <string>
#include <utility>

#include "src/balancer/MemberPlane.h"
#include "src/base/Log.h"
#include "src/passthrough/BalancersInView.h"
#include "src/passthrough/FlowBalancerOptions.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/InventoryExchange.h"
#include "src/passthrough/IsolationWatch.h"
#include "src/passthrough/PassthroughProcess.h"
#include "src/process/StandstillWatch.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr auto kSecond = std::chrono::seconds(1);
/** How long a balancer goes on routing after it said that it stops: readiness
 * is asked for twice a second and must be missed twice, and packets that are
 * on their way then still come. */
constexpr auto kStopAfter = std::chrono::milliseconds(2000);
/** Without any host in view a balancer that has routes waits this long for
 * heartbeats before it calls itself ready: were none ready, callers' packets
 * would go nowhere, where a ready one can refuse them at once. */
constexpr auto kReadyWithoutHosts = std::chrono::milliseconds(3000);

/** Heartbeats to seeds are answered within milliseconds, and a balancer that
 * starts repeats them every 50 ms; who has heard nobody after this looks into
 * the directory. */
constexpr auto kLostAfter = std::chrono::milliseconds(120);
/** After a standstill of this length routes are read anew: a shorter one leaves
 * the watch's connection alive, and a machine that is slow would call the store
 * again and again. */
constexpr auto kStaleRoutesAfter = std::chrono::milliseconds(700);

} // namespace

struct FlowBalancer::Impl final : FlowSteeringOutput
{
  Impl(const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
       Reread aReread)
    : mSettings(aSettings)
    , mReread(std::move(aReread))
    , mSelf(MakeSelf(aSettings))
    , mProcess({ mSettings, aAdapter, mSelf.mHost, mSelf.mIncarnation,
                 mSelf.mControl, [this] { return Ready(); },
                 [this](const Frame& aFrame) { OnFrame(aFrame); },
                 [this](std::vector<Address> aSeeds) {
                   mMembers.SetSeeds(std::move(aSeeds));
                 } })
    , mClock(mProcess.mClock)
    , mPlaceTime(mProcess.mMetrics.GetHistogram("placement_ms"))
    , mSteering({ mSelf.mTunnel, mSelf.mDataCentre, aSettings.mMaxHints },
                aAdapter.Packets(), *this)
    , mMembers({ mClock, mProcess.mMetrics, mProcess.mMessages,
                 [this](auto aViews, auto aServices) {
                   mSteering.SetViews(aViews, aServices);
                 } },
               mSelf, MakeMembershipOptions(aSettings.mSeeds))
    , mRoutes({ mClock, mProcess.mMessages, *mProcess.mStore,
                aAdapter.Inventories(), MakeWatchOptions(aSettings, mSelf),
                MakeDrainOptions(aSettings, mSelf),
                MakePeerOptions(aSettings, mSelf),
                MakeDutyOptions(aSettings, mSelf, mClock.Now()),
                [this] { return mMembers.Balancers(); },
                [this] { return mProcess.Seeds(); },
                [this](FlowInventoryPtr aInventory) {
                  mSteering.SetInventory(std::move(aInventory));
                },
                [this](const DataCentreDrains& aDrains) {
                  mDrains = aDrains;
                  mSteering.SetDrains(aDrains);
                } })
    , mRetryTimer(mProcess.mRuntime.Executor())
    , mStartedAt(mClock.Now())
  {
  }

  const FlowBalancerSettings mSettings;
  const Reread mReread;
  const Member mSelf;
  PassthroughProcess mProcess;
  const Clock& mClock;
  Histogram& mPlaceTime;
  FlowSteering mSteering;
  MemberPlane mMembers;
  InventoryExchange mRoutes;
  DataCentreDrains mDrains;
  boost::asio::steady_timer mRetryTimer;
  std::optional<Time> mRetryAt;
  StandstillWatch mStandstill;
  std::shared_ptr<DatagramSocket> mIngress;
  const Time mStartedAt;
  IsolationWatch mIsolation;
  bool mIsolated = false;
  bool mStoreAnswered = false;
  BalancersInView mBalancers;
  bool mStopping = false;

  Result<void> Ready()
  {
    if (mStopping) {
      return Fail(ErrorKind::Unavailable, "stopping",
                  "send packets to another balancer");
    }
    if (!mSteering.Inventory()) {
      return Fail(ErrorKind::Unavailable, "no routes yet",
                  "look at the store and the other balancers");
    }
    if (mIsolated) {
      return Fail(ErrorKind::Unavailable, "hardly any agent is heard",
                  "mend the network of this machine");
    }
    bool waited = mClock.Now() - mStartedAt >= kReadyWithoutHosts;
    if (mSteering.UsableHosts() == 0 && !waited) {
      return Fail(ErrorKind::Unavailable, "no host was heard of yet",
                  "wait for a heartbeat, or look at the agents");
    }
    return {};
  }

  Result<void> Open()
  {
    auto ingress = DatagramSocket::Make(mProcess.mRuntime.Executor(),
                                        mSettings.mIngress, &mProcess.mCuts);
    if (!ingress) {
      return tl::unexpected(ingress.error());
    }
    mIngress = *ingress;
    return mProcess.Open();
  }

  void Start()
  {
    mSteering.OnStart(mClock.Now());
    mIngress->Start([this](ByteView aDatagram, const Address&) {
      mSteering.OnPacket(aDatagram, CheckStandstill());
      ArmRetry();
    });
    mProcess.mTunnel->Start([this](ByteView aDatagram, const Address& aFrom) {
      OnDatagram(aDatagram, aFrom);
    });
    mProcess.mRuntime.Every(kTick, [this] { Tick(); });
    mProcess.mRuntime.Every(kSecond, [this] { EverySecond(); });
    mProcess.mRuntime.OnStop([this] { Stop(); });
    mProcess.mRuntime.OnReload([this] { mProcess.OnReread(mReread()); });
    LogEvent(LogLevel::Info, "started",
             { { "ingress", mSettings.mIngress.ToString() },
               { "tunnel", mSettings.mTunnel.ToString() },
               { "control", mSettings.mControl.ToString() },
               { "admin", mSettings.mAdmin.ToString() } });
    Tick();
  }

  void Tick()
  {
    Time now = CheckStandstill();
    mBalancers.Set(mMembers.Balancers());
    JudgeIsolation(now);
    TendDirectory(now);
    mMembers.Tick();
    mRoutes.OnTick();
  }

  /** The present, after a look whether this process just stood still: what it
   * reads next may be as old as that. */
  Time CheckStandstill()
  {
    Time now = mClock.Now();
    Duration gap = mStandstill.OnTick(now, StandstillWatch::SinceBoot());
    if (gap > Duration::zero()) {
      OnStandstill(gap, now);
    }
    return now;
  }

  /** Routes may have changed meanwhile, and the watch may be dead. */
  void OnStandstill(Duration aGap, Time aNow)
  {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aGap);
    LogEvent(LogLevel::Warning, "stood_still", { { "ms", ms.count() } });
    mSteering.OnStandstill(aNow);
    mIsolation.OnStandstill(aNow);
    mRoutes.OnStandstill();
    if (aGap >= kStaleRoutesAfter) {
      mRoutes.ReadNow();
    }
  }

  void JudgeIsolation(Time aNow)
  {
    std::size_t agents = mMembers.Judged();
    if (mIsolation.WantsToAsk(agents, aNow)) {
      std::vector<Address> asked;
      for (const Member& it : mMembers.AskSome(IsolationWatch::kAsked)) {
        asked.push_back(it.mTunnel);
      }
      mIsolation.OnAsked(std::move(asked), aNow);
    }
    bool isolated = mIsolation.IsIsolated(agents, aNow);
    if (isolated != mIsolated) {
      mIsolated = isolated;
      LogEvent(LogLevel::Warning, isolated ? "isolated" : "rejoined",
               { { "agents", agents } });
    }
  }

  void TendDirectory(Time aNow)
  {
    bool storeAnswers = mRoutes.IsStoreAnswering();
    if (storeAnswers && !mStoreAnswered) {
      mProcess.RegisterAgain();
    }
    mStoreAnswered = storeAnswers;
    bool nobody = mMembers.Balancers().empty() && mMembers.Size() == 0;
    mProcess.TendDirectory(nobody && aNow - mStartedAt > kLostAfter, aNow);
  }

  void EverySecond()
  {
    mProcess.EverySecond();
    auto& metrics = mProcess.mMetrics;
    metrics.GetGauge("store_heard_s_ago")
      .Set(InMs(mClock.Now() - mRoutes.HeardAt()) / 1000);
    metrics.GetGauge("members").Set(static_cast<double>(mMembers.Size()));
    metrics.GetGauge("routes_version")
      .Set(static_cast<double>(mRoutes.Version()));
    mProcess.Export(
      "steer_events", SteerEvent::Last,
      [this](SteerEvent aEvent) { return mSteering.Count(aEvent); });
  }

  void OnDatagram(ByteView aDatagram, const Address& aFrom)
  {
    auto frame = mProcess.Unwrap(aDatagram);
    if (!frame) {
      return;
    }
    if (!mBalancers.Contains(aFrom)) {
      mIsolation.OnHeard(aFrom, mClock.Now());
    }
    OnFrame(*frame);
  }

  void OnFrame(const Frame& aFrame)
  {
    if (IsMembership(aFrame.mKind)) {
      mMembers.OnFrame(aFrame);
      TellDrained(aFrame);
      return;
    }
    bool taken = false;
    switch (aFrame.mKind) {
      case MessageKind::PlacementReport:
        taken = Take(DecodePlacementReport(aFrame.mPayload));
        break;
      case MessageKind::SteeredPacket:
        taken = Take(DecodeSteeredPacket(aFrame.mPayload));
        break;
      case MessageKind::InventoryNotice:
        taken = Take(DecodeInventoryNotice(aFrame.mPayload));
        break;
      case MessageKind::InventoryDocument:
        taken = Take(DecodeInventoryDocument(aFrame.mPayload));
        break;
      default:
        break;
    }
    if (!taken) {
      mProcess.CountMalformed();
    }
  }

  /** Answers the heartbeat of an agent in a drained data centre. */
  void TellDrained(const Frame& aFrame)
  {
    if (mDrains.mDataCentres.empty() ||
        aFrame.mKind != MessageKind::Heartbeat) {
      return;
    }
    auto beat = DecodeHeartbeat(aFrame.mPayload);
    if (!beat) {
      return;
    }
    const Member& agent = beat->mRecord.mMember;
    bool isAgent = agent.mService != BalancerService();
    if (isAgent && mDrains.Contains(agent.mDataCentre)) {
      mProcess.mMessages.Send(agent.mControl, MessageKind::DrainNotice,
                              EncodePayload(DrainNotice{ mDrains.mVersion }));
    }
  }

  bool Take(const Result<PlacementReport>& aReport)
  {
    if (aReport) {
      mSteering.OnReport(*aReport, mClock.Now());
    }
    return aReport.has_value();
  }

  bool Take(Result<SteeredPacket> aSteered)
  {
    if (!aSteered || aSteered->mPurpose != SteerPurpose::NotHere) {
      return false;
    }
    mSteering.OnNotHere(std::move(*aSteered), mClock.Now());
    return true;
  }

  bool Take(const Result<InventoryNotice>& aNotice)
  {
    if (aNotice) {
      mRoutes.OnNotice(*aNotice);
    }
    return aNotice.has_value();
  }

  bool Take(const Result<InventoryDocument>& aDocument)
  {
    if (aDocument) {
      mRoutes.OnDocument(*aDocument);
    }
    return aDocument.has_value();
  }

  void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
  {
    mProcess.Steer(aAgent, aPacket);
  }

  void ToCaller(const Address& aCaller, ByteView aPacket) override
  {
    mProcess.ToCaller(aCaller, aPacket);
  }

  void Placed(Duration aTook) override { mPlaceTime.Record(InMs(aTook)); }

  /** Wakes when the oldest unanswered opening packet is late. */
  void ArmRetry()
  {
    auto next = mSteering.NextAt();
    if (!next || mRetryAt) {
      return;
    }
    mRetryAt = next;
    mRetryTimer.expires_at(*next);
    mRetryTimer.async_wait([this](boost::system::error_code aEc) {
      if (aEc) {
        return;
      }
      mRetryAt.reset();
      // Answers that came while this process did not run go first.
      mProcess.mTunnel->ReadNow();
      mSteering.OnTick(mClock.Now());
      ArmRetry();
    });
  }

  void Stop()
  {
    mStopping = true;
    mMembers.Leave();
    mProcess.StopAfter(kStopAfter);
  }
};

FlowBalancer::FlowBalancer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

FlowBalancer::~FlowBalancer() = default;

Result<std::unique_ptr<FlowBalancer>> FlowBalancer::Make(
  const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
  Reread aReread)
{
  auto impl = std::make_unique<Impl>(aSettings, aAdapter, std::move(aReread));
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
