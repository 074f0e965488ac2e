#include "src/passthrough/FlowQueries.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "src/passthrough/PacketFormat.h"

namespace heatherplank {

namespace {

constexpr auto kExpiryInterval = std::chrono::seconds(1);
/** Queued flows that are inspected for those that fit into a batch. */
constexpr std::size_t kMaxInspected = 256;

} // namespace

FlowQueries::FlowQueries(const Options& aOptions, FlowQueriesOutput& aOutput)
  : mOptions(aOptions)
  , mOutput(aOutput)
  , mRounds(aOptions.mRounds, *this)
{
}

void FlowQueries::SetHosts(std::vector<QueriedHost> aHosts)
{
  mHosts = std::move(aHosts);
  std::ranges::sort(mHosts, {}, &QueriedHost::mHost);
  mViewChanged = true;
}

void FlowQueries::SetViewState(const HostViewState& aState)
{
  mViewChanged = mViewChanged || aState != mViewState;
  mViewState = aState;
}

/** The state of the packet's flow, or null.
 *
 * Guards against: the caller opens a new flow from the same port through
 * another balancer. What the hosts said of the earlier flow does not hold for
 * the new one, which its different acknowledgement number reveals. */
FlowQueries::Flow* FlowQueries::FindSameFlow(const QueriedFlow& aFlow)
{
  auto it = mFlows.find(aFlow.mFlow);
  if (it == mFlows.end()) {
    return nullptr;
  }
  const auto& last = it->second.mLastPacket.mAcknowledged;
  if (last && aFlow.mAcknowledged) {
    // The packets of one flow that lost its host acknowledge numbers that
    // differ by at most the bytes in flight, in either direction.
    std::uint32_t ahead = *aFlow.mAcknowledged - *last;
    if (ahead > kMaxWindowBytes && 0 - ahead > kMaxWindowBytes) {
      mFlows.erase(it);
      return nullptr;
    }
  }
  return &it->second;
}

bool FlowQueries::IsHeldNowhere(const QueriedFlow& aFlow, Time aNow)
{
  Flow* flow = FindSameFlow(aFlow);
  if (flow == nullptr || flow->mStage != Stage::HeldNowhere) {
    return false;
  }
  flow->mLastPacketAt = aNow;
  return true;
}

void FlowQueries::OnPacket(const QueriedFlow& aFlow, bool aMayBeReset,
                           Time aNow)
{
  Flow* flow = FindSameFlow(aFlow);
  if (flow == nullptr) {
    if (mFlows.size() >= kMaxFlows) {
      return;
    }
    flow = &mFlows[aFlow.mFlow];
  }
  flow->mLastPacket = aFlow;
  flow->mMayBeReset = aMayBeReset;
  flow->mLastPacketAt = aNow;
  if (flow->mStage == Stage::Undecided) {
    flow->mWasProbed = false;
    Enqueue(aFlow.mFlow, *flow);
    StartBatchIfDue(aNow);
  } else if (flow->mStage == Stage::Denied) {
    TryConclude(aFlow.mFlow, *flow, aNow);
  }
}

void FlowQueries::Enqueue(const FlowKey& aKey, Flow& aFlow)
{
  aFlow.mStage = Stage::Queued;
  mQueue.push_back(aKey);
}

void FlowQueries::StartBatchIfDue(Time aNow)
{
  bool isDue = !mLastBatchAt || aNow - *mLastBatchAt >= kBatchInterval;
  if (!isDue || mHosts.empty()) {
    return;
  }
  auto flows = TakeBatch();
  if (flows.empty()) {
    return;
  }
  const FlowKey& first = flows.front().mFlow;
  auto hosts = HostsToAsk(first, mFlows[first]);
  std::uint64_t batch = mNextBatch++;
  if (!hosts.empty()) {
    mLastBatchAt = aNow;
    mRounds.Ask(batch, flows, std::move(hosts), aNow);
    return;
  }
  // Hosts have left the view since the flows were queued.
  for (const QueriedFlow& it : flows) {
    Settle(batch, { it, {}, {}, true }, aNow);
  }
}

/** Takes the first queued flow, and others of which the same hosts must be
 * asked. */
std::vector<QueriedFlow> FlowQueries::TakeBatch()
{
  std::vector<QueriedFlow> out;
  std::vector<FlowKey> skipped;
  const std::vector<HostId>* deniedBy = nullptr;
  bool isLimited = mHosts.size() > kMaxHosts;
  while (!mQueue.empty() && out.size() < FlowQuery::kMaxFlows &&
         skipped.size() < kMaxInspected) {
    FlowKey key = mQueue.front();
    mQueue.pop_front();
    auto it = mFlows.find(key);
    if (it == mFlows.end() || it->second.mStage != Stage::Queued) {
      continue;
    }
    bool fits = deniedBy == nullptr ||
                (it->second.mDeniedBy == *deniedBy &&
                 (!isLimited || key.mService == out.front().mFlow.mService));
    if (!fits) {
      skipped.push_back(key);
      continue;
    }
    deniedBy = &it->second.mDeniedBy;
    it->second.mStage = Stage::Asked;
    it->second.mBatch = mNextBatch;
    out.push_back(it->second.mLastPacket);
  }
  mQueue.insert(mQueue.begin(), skipped.begin(), skipped.end());
  return out;
}

std::vector<QueriedHost> FlowQueries::HostsToAsk(const FlowKey& aKey,
                                                 const Flow& aFlow) const
{
  std::vector<QueriedHost> out;
  std::ranges::copy_if(
    mHosts, std::back_inserter(out), [&](const QueriedHost& aIt) {
      return !std::ranges::binary_search(aFlow.mDeniedBy, aIt.mHost);
    });
  if (mHosts.size() <= kMaxHosts) {
    return out;
  }
  auto likely = mOutput.LikelyHosts(aKey, kMaxHosts);
  std::ranges::sort(likely);
  std::erase_if(out, [&](const QueriedHost& aIt) {
    return !std::ranges::binary_search(likely, aIt.mHost);
  });
  return out;
}

bool FlowQueries::IsDeniedByAll(const Flow& aFlow) const
{
  return std::ranges::all_of(mHosts, [&](const QueriedHost& aIt) {
    return std::ranges::binary_search(aFlow.mDeniedBy, aIt.mHost);
  });
}

void FlowQueries::SendQuery(const Address& aAgent, const FlowQuery& aQuery)
{
  mOutput.SendQuery(aAgent, aQuery);
}

void FlowQueries::OnHeld(const FlowKey& aFlow, HostId aHost, Time aNow)
{
  mFlows.erase(aFlow);
  mOutput.OnFound(aFlow, aHost, aNow);
}

void FlowQueries::OnEnded(std::uint64_t aBatch,
                          std::span<const QueryOutcome> aOutcomes, Time aNow)
{
  for (const QueryOutcome& it : aOutcomes) {
    Settle(aBatch, it, aNow);
  }
}

/** Guards against: an opening packet has arrived since the query, and a host
 * that denied the flow holds the new one. Such an outcome is of an earlier
 * batch than the flow's present state, and is ignored. */
void FlowQueries::Settle(std::uint64_t aBatch, const QueryOutcome& aOutcome,
                         Time aNow)
{
  auto it = mFlows.find(aOutcome.mFlow.mFlow);
  if (it == mFlows.end() || it->second.mStage != Stage::Asked ||
      it->second.mBatch != aBatch) {
    return;
  }
  Flow& flow = it->second;
  auto& denied = flow.mDeniedBy;
  denied.insert(denied.end(), aOutcome.mDenied.begin(), aOutcome.mDenied.end());
  std::ranges::sort(denied);
  denied.erase(std::unique(denied.begin(), denied.end()), denied.end());
  flow.mStage = Stage::Undecided;
  if (TryConclude(it->first, flow, aNow)) {
    return;
  }
  if (!aOutcome.mUndecided.empty()) {
    StartProbe(it->first, flow, aOutcome.mUndecided, aNow);
  } else if (IsDeniedByAll(flow) && mHosts.size() <= kMaxHosts) {
    flow.mStage = Stage::Denied;
    mDenied.push_back(it->first);
  } else if (aOutcome.mIsComplete && mHosts.size() <= kMaxHosts) {
    // Hosts were added while the others replied.
    Enqueue(it->first, flow);
  }
}

/** Guards against: the agents of a few hosts started a moment later than these,
 * and cannot tell what the hosts hold. Callers of all lost flows would wait for
 * their retransmission, which finds the probe's result, and miss their target.
 */
void FlowQueries::StartProbe(const FlowKey& aKey, Flow& aFlow,
                             std::span<const Address> aHosts, Time aNow)
{
  if (!std::exchange(aFlow.mWasProbed, true)) {
    aFlow.mStage = Stage::Probed;
    mProbed.emplace_back(aNow + kProbeDuration, aKey);
    mOutput.OnUndecided(aKey, aHosts);
  }
}

void FlowQueries::QueueProbed(Time aNow)
{
  while (!mProbed.empty() && mProbed.front().first <= aNow) {
    auto it = mFlows.find(mProbed.front().second);
    mProbed.pop_front();
    if (it != mFlows.end() && it->second.mStage == Stage::Probed) {
      Enqueue(it->first, it->second);
    }
  }
}

bool FlowQueries::MayConclude(Time aNow) const
{
  const FlowQueryGuards& guards = mOptions.mGuards;
  return (!guards.mRequireCompleteView || mViewState.mIsComplete) &&
         (!guards.mCheckRecentDeaths || !mViewState.mHasRecentDeaths) &&
         (!guards.mCheckStall || aNow >= mNoConclusionUntil) &&
         !mHosts.empty() && mHosts.size() <= kMaxHosts;
}

/** Guards against: a reset to the caller of a flow that a living host holds.
 * That host may not have replied, may not be in view yet, may have been dropped
 * from it behind a cut, or may open the flow with an opening packet that is
 * still on its way; and a balancer that has just resumed may act on old
 * packets with an old view. */
bool FlowQueries::TryConclude(const FlowKey& aKey, Flow& aFlow, Time aNow)
{
  const FlowQueryGuards& guards = mOptions.mGuards;
  bool isSending = aNow - aFlow.mLastPacketAt < kCallerTimeout;
  if (!MayConclude(aNow) || !isSending || !aFlow.mMayBeReset ||
      (guards.mRequireEveryHost && !IsDeniedByAll(aFlow)) ||
      (guards.mCheckPendingOffer && mOutput.HasPendingOffer(aKey))) {
    return false;
  }
  aFlow.mStage = Stage::HeldNowhere;
  mOutput.OnHeldNowhere(aFlow.mLastPacket, aFlow.mDeniedBy.size());
  return true;
}

/** Concludes for the flows that wait for it, and queues those that a host which
 * was added since may hold. */
void FlowQueries::RevisitDenied(Time aNow)
{
  if (!mViewChanged && !MayConclude(aNow)) {
    return;
  }
  mViewChanged = false;
  for (const FlowKey& key : std::exchange(mDenied, {})) {
    auto it = mFlows.find(key);
    if (it == mFlows.end() || it->second.mStage != Stage::Denied ||
        TryConclude(key, it->second, aNow)) {
      continue;
    }
    if (aNow - it->second.mLastPacketAt >= kCallerTimeout) {
      it->second.mStage = Stage::Undecided;
    } else if (IsDeniedByAll(it->second)) {
      mDenied.push_back(key);
    } else {
      Enqueue(key, it->second);
    }
  }
}

void FlowQueries::OnTick(Time aNow)
{
  mRounds.OnTick(aNow);
  QueueProbed(aNow);
  RevisitDenied(aNow);
  StartBatchIfDue(aNow);
  if (aNow - mLastExpiryAt >= kExpiryInterval) {
    mLastExpiryAt = aNow;
    Expire(aNow);
  }
}

void FlowQueries::Expire(Time aNow)
{
  std::erase_if(mFlows, [aNow](const auto& aIt) {
    return aNow - aIt.second.mLastPacketAt >= kRetention;
  });
  std::erase_if(mDenied, [this](const FlowKey& aIt) {
    auto flow = mFlows.find(aIt);
    return flow == mFlows.end() || flow->second.mStage != Stage::Denied;
  });
}

std::optional<Time> FlowQueries::NextAt() const
{
  std::optional<Time> next = mRounds.NextAt();
  if (!mQueue.empty() && !mHosts.empty() && mLastBatchAt) {
    next = EarlierOf(next, *mLastBatchAt + kBatchInterval);
  }
  if (!mProbed.empty()) {
    next = EarlierOf(next, mProbed.front().first);
  }
  return next;
}

} // namespace heatherplank
