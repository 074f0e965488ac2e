#include "src/agent/FlowHandler.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/agent/FlowEffects.h"
#include "src/agent/PolicyMeter.h"
#include "src/caller/Answer.h"
#include "src/metrics/Metrics.h"
#include "src/net/DatagramSocket.h"
#include "src/wire/SteerCodec.h"

namespace heatherplank {

namespace {

/** Larger hand-offs are sent over TCP: with headers and tunnels they might not
 * fit into an Ethernet frame. */
constexpr std::size_t kMaxHandOffDatagramBytes = 1200;
constexpr auto kWrongServiceRetryAfter = std::chrono::seconds(1);
/** Ticks between two expiries of answers and exports of counters: half a second
 * at 25 ms a tick. */
constexpr std::uint64_t kTicksPerSweep = 20;
/** Factor on the flow limit of a shard, for an uneven distribution of flows. */
constexpr std::size_t kShardSlackFactor = 2;

} // namespace

FlowHandler::FlowHandler(Parts aParts, const Options& aOptions)
  : mParts(std::move(aParts))
  , mOptions(aOptions)
  , mMalformed(mParts.mMetrics.GetCounter("packets_refused_total",
                                          "reason=\"malformed\""))
  , mNotReady(mParts.mMetrics.GetCounter("packets_refused_total",
                                         "reason=\"not_ready\""))
  , mWrongService(mParts.mMetrics.GetCounter("packets_refused_total",
                                             "reason=\"wrong_service\""))
  , mRepeatedInProgress(mParts.mMetrics.GetCounter("requests_repeated_total",
                                                   "state=\"in_progress\""))
  , mRepeatedAnswered(mParts.mMetrics.GetCounter("requests_repeated_total",
                                                 "state=\"answered\""))
  , mExported(kOwnershipCounts + kOwnershipRefusals)
{
  OwnershipOptions ownership = mOptions.mOwnership;
  ownership.mMaxFlows = mOptions.mMaxFlows / kShards * kShardSlackFactor;
  ownership.mMaxDirectory = ownership.mMaxFlows;
  Peer self = ToPeer(mOptions.mSelf);
  for (std::size_t i = 0; i < kShards; ++i) {
    mShards.push_back(std::make_unique<FlowShard>(
      self, mOptions.mSelf.mService, mParts.mMakeCandidate,
      MixHash(self.mHost.mValue, i), ownership,
      mOptions.mMaxAnswerBytes / kShards, mParts.mClock.Now()));
  }
}

FlowHandler::~FlowHandler() = default;

void FlowHandler::SetPipeline(RequestPipeline& aPipeline)
{
  mPipeline = &aPipeline;
}

void FlowHandler::SetService(const Service& aService, std::string_view aPolicy)
{
  {
    std::lock_guard lock(mServiceLock);
    mAddresses = { aService.mAddresses.begin(), aService.mAddresses.end() };
  }
  for (auto& it : mShards) {
    std::lock_guard lock(it->mLock);
    it->mPicker.SetPolicy(aPolicy);
  }
}

FlowShard& FlowHandler::ShardOf(const FlowKey& aFlow)
{
  return *mShards[(HashFlow(aFlow) >> 56) % kShards];
}

bool FlowHandler::OnDatagram(const Frame& aFrame)
{
  if (aFrame.mKind == MessageKind::Packet) {
    auto packet = DecodePacket(aFrame.mPayload);
    if (!packet || packet->mDirective == PacketDirective::Answer) {
      mMalformed.Add();
      return true;
    }
    OnPacket(*packet);
    return true;
  }
  if (!IsOwnershipMessage(aFrame.mKind)) {
    return false;
  }
  auto message = DecodeOwnershipMessage(aFrame.mKind, aFrame.mPayload);
  if (!message) {
    mMalformed.Add();
    return true;
  }
  OnMessage(*message);
  return true;
}

void FlowHandler::OnHandOffFrame(ByteView aPayload)
{
  OnDatagram({ MessageKind::HandOff, aPayload });
}

bool FlowHandler::IsConfigured() const
{
  std::lock_guard lock(mServiceLock);
  return !mAddresses.empty();
}

bool FlowHandler::IsForThisService(const Packet& aPacket) const
{
  // Repeats the balancer's check: an address may have moved to another service
  // while the packet was in flight, and a request must not reach another
  // service's backend server.
  if (aPacket.mService != mOptions.mSelf.mService) {
    return false;
  }
  std::lock_guard lock(mServiceLock);
  return mAddresses.contains(aPacket.mFlow.mService);
}

void FlowHandler::OnPacket(const Packet& aPacket)
{
  // Packets for the host's previous incarnation reach a process that has just
  // started and can't evaluate them. They are dropped; the callers' retries
  // arrive through an agent that can evaluate them.
  if (!IsConfigured()) {
    mNotReady.Add();
    return;
  }
  FlowEffects effects;
  FlowShard& shard = ShardOf(aPacket.mFlow);
  if (!IsForThisService(aPacket)) {
    mWrongService.Add();
    {
      std::lock_guard lock(shard.mLock);
      RefuseRequest(shard, CopyPacket(aPacket), "wrong_service",
                    kWrongServiceRetryAfter, effects);
    }
    Perform(effects);
    return;
  }
  if (aPacket.mDirective == PacketDirective::Lend) {
    OnLentPacket(aPacket);
    return;
  }
  {
    std::lock_guard lock(shard.mLock);
    PacketToken token = mNextToken++;
    shard.mHeld[token] = CopyPacket(aPacket);
    PacketEvent event{
      token,         aPacket.mFlow,      aPacket.mService, aPacket.mHintTo,
      aPacket.mHops, aPacket.mDirective, aPacket.mArbiter, aPacket.mEpoch
    };
    OwnershipActions actions;
    shard.mOwnership.OnPacket(event, mParts.mClock.Now(), actions);
    Execute(shard, actions, {}, effects);
  }
  Perform(effects);
}

void FlowHandler::OnMessage(const OwnershipMessage& aMessage)
{
  FlowShard& shard = ShardOf(FlowOf(aMessage));
  const auto* handOff = std::get_if<HandOff>(&aMessage);
  FlowEffects effects;
  {
    std::lock_guard lock(shard.mLock);
    OwnershipActions actions;
    shard.mOwnership.OnMessage(aMessage, mParts.mClock.Now(), actions);
    Execute(shard, actions, handOff ? handOff->mState : ByteView{}, effects);
  }
  Perform(effects);
}

void FlowHandler::OnView(const ServiceViewPtr& aView, Time aConfirmedAt)
{
  {
    std::lock_guard lock(mServiceLock);
    if (!mView || mView->Version() <= aView->Version()) {
      mView = aView;
    }
  }
  for (auto& it : mShards) {
    FlowEffects effects;
    {
      std::lock_guard lock(it->mLock);
      // Two threads may handle two heartbeat replies at once; the older view
      // must not replace the newer one.
      if (aView->Version() < it->mViewVersion) {
        continue;
      }
      it->mViewVersion = aView->Version();
      OwnershipActions actions;
      it->mOwnership.OnView(aView, aConfirmedAt, mParts.mClock.Now(), actions);
      Execute(*it, actions, {}, effects);
    }
    Perform(effects);
  }
}

void FlowHandler::Drain()
{
  for (auto& it : mShards) {
    FlowEffects effects;
    {
      std::lock_guard lock(it->mLock);
      OwnershipActions actions;
      it->mOwnership.Drain(mParts.mClock.Now(), actions);
      Execute(*it, actions, {}, effects);
    }
    Perform(effects);
  }
}

void FlowHandler::Tick()
{
  bool sweep = ++mTicks % kTicksPerSweep == 0;
  for (auto& it : mShards) {
    FlowEffects effects;
    {
      std::lock_guard lock(it->mLock);
      Time now = mParts.mClock.Now();
      OwnershipActions actions;
      it->mOwnership.Tick(now, actions);
      Execute(*it, actions, {}, effects);
      if (sweep) {
        it->mAnswers.Expire(now);
        ExpireLentRequests(*it, now);
      }
    }
    Perform(effects);
  }
  if (sweep) {
    ExportCounters();
  }
}

std::size_t FlowHandler::FlowCount()
{
  std::size_t count = 0;
  for (auto& it : mShards) {
    std::lock_guard lock(it->mLock);
    count += it->mOwnership.FlowCount();
  }
  return count;
}

void FlowHandler::Execute(FlowShard& aShard, const OwnershipActions& aActions,
                          ByteView aHandOffState, FlowEffects& aEffects)
{
  for (const auto& it : aActions) {
    if (const auto* dispatch = std::get_if<DispatchPacket>(&it)) {
      StartOwnedRequest(aShard, *dispatch, aEffects);
    } else if (const auto* forward = std::get_if<ForwardPacket>(&it)) {
      Forward(aShard, *forward, aEffects);
    } else if (const auto* refuse = std::get_if<RefusePacket>(&it)) {
      RefuseHeld(aShard, *refuse, aEffects);
    } else if (const auto* send = std::get_if<SendMessage>(&it)) {
      aEffects.mDatagrams.push_back(
        { send->mTo, EncodeOwnershipMessage(send->mMessage) });
    } else if (const auto* exported = std::get_if<ExportFlow>(&it)) {
      SendHandOff(*exported, aShard.mAnswers.Export(exported->mHandOff.mFlow),
                  aEffects);
    } else if (const auto* imported = std::get_if<ImportFlow>(&it)) {
      auto result = aShard.mAnswers.Import(imported->mFlow, aHandOffState,
                                           mParts.mClock.Now());
      if (!result) {
        mMalformed.Add();
      }
    } else if (const auto* drop = std::get_if<DropFlow>(&it)) {
      aShard.mAnswers.Forget(drop->mFlow);
    }
  }
}

void FlowHandler::StartOwnedRequest(FlowShard& aShard,
                                    const DispatchPacket& aDispatch,
                                    FlowEffects& aEffects)
{
  auto held = aShard.mHeld.extract(aDispatch.mToken);
  if (!held.empty()) {
    HandleRequest(aShard, held.mapped(), aDispatch.mEpoch, false, aEffects);
  }
}

void FlowHandler::Forward(FlowShard& aShard, const ForwardPacket& aForward,
                          FlowEffects& aEffects)
{
  auto held = aShard.mHeld.extract(aForward.mToken);
  if (held.empty()) {
    return;
  }
  Packet packet = ToPacket(held.mapped(), mOptions.mSelf.mService);
  packet.mDirective = aForward.mDirective;
  packet.mHops = aForward.mHops;
  packet.mArbiter = aForward.mArbiter;
  packet.mEpoch = aForward.mEpoch;
  aEffects.mDatagrams.push_back({ aForward.mTo.mTunnel, EncodePacket(packet) });
}

void FlowHandler::SendHandOff(const ExportFlow& aExport, Bytes aState,
                              FlowEffects& aEffects)
{
  HandOff handOff = aExport.mHandOff;
  handOff.mState = aState;
  Bytes payload = EncodeOwnershipPayload(handOff);
  Address control = ControlOf(aExport.mTo);
  if (payload.size() <= kMaxHandOffDatagramBytes || control.IsNone()) {
    aEffects.mDatagrams.push_back(
      { aExport.mTo, EncodeDatagram(MessageKind::HandOff, payload) });
    return;
  }
  aEffects.mByControl.push_back({ control, std::move(payload) });
}

void FlowHandler::Perform(const FlowEffects& aEffects)
{
  for (const auto& it : aEffects.mDatagrams) {
    mParts.mTunnel.Send(it.mBytes, it.mTo);
  }
  for (const auto& it : aEffects.mByControl) {
    mParts.mSendByControl(it.mTo, it.mBytes);
  }
  for (const auto& [flow, id] : aEffects.mCancels) {
    mPipeline->Cancel(flow, id);
  }
  for (const auto& it : aEffects.mStarts) {
    if (mPipeline->Classify(*it)) {
      mPipeline->Start(it);
    } else {
      OnAnswer(it,
               MakeNotRun(503, "no_configuration", std::chrono::seconds(1)));
    }
  }
}

ServiceViewPtr FlowHandler::CurrentView() const
{
  std::lock_guard lock(mServiceLock);
  return mView;
}

Address FlowHandler::ControlOf(const Address& aTunnel) const
{
  ServiceViewPtr view = CurrentView();
  if (!view) {
    return {};
  }
  for (const auto& it : view->Members()) {
    if (it.mTunnel == aTunnel) {
      return it.mControl;
    }
  }
  return {};
}

void FlowHandler::ExportCounters()
{
  std::vector<std::uint64_t> totals(mExported.size());
  std::size_t flows = 0;
  for (auto& shard : mShards) {
    std::lock_guard lock(shard->mLock);
    const OwnershipCounters& counters = shard->mOwnership.Counters();
    for (std::size_t i = 0; i < kOwnershipCounts; ++i) {
      totals[i] += counters.mCounts[i];
    }
    for (std::size_t i = 0; i < kOwnershipRefusals; ++i) {
      totals[kOwnershipCounts + i] += counters.mRefusals[i];
    }
    flows += shard->mOwnership.FlowCount();
  }
  for (std::size_t i = 0; i < totals.size(); ++i) {
    bool isRefusal = i >= kOwnershipCounts;
    std::string_view name =
      isRefusal ? ToString(static_cast<OwnershipRefusal>(i - kOwnershipCounts))
                : ToString(static_cast<OwnershipCount>(i));
    std::string label = isRefusal ? "reason=\"" : "event=\"";
    label.append(name).append("\"");
    mParts.mMetrics
      .GetCounter(
        isRefusal ? "packets_refused_total" : "ownership_events_total", label)
      .Add(totals[i] - mExported[i]);
  }
  auto increase = [&](OwnershipCount aCount) {
    auto i = static_cast<std::size_t>(aCount);
    return totals[i] - mExported[i];
  };
  mParts.mMeter.OnFlows(increase(OwnershipCount::Adopted),
                        increase(OwnershipCount::FlowsReleased));
  mExported = std::move(totals);
  mParts.mMetrics.GetGauge("flows_owned").Set(static_cast<double>(flows));
}

} // namespace heatherplank
