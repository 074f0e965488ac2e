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
  , mExclusion(aOptions.mGuards, aOptions.mFlowLifetime)
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
  if (flow->mStage == Stage::Undecided || flow->mStage == Stage::Waiting) {
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
  auto hosts = HostsToAsk(first, mFlows[first], aNow);
  std::uint64_t batch = mNextBatch++;
  if (!hosts.empty()) {
    mLastBatchAt = aNow;
    mRounds.Ask(batch, flows, std::move(hosts), aNow);
    return;
  }
  // Hosts have left the view since the flows were queued.
  for (const QueriedFlow& it : flows) {
    Settle(batch, { it, {}, {}, {}, true }, aNow);
  }
}

bool FlowQueries::AsksSameHosts(const Flow& aLeft, const Flow& aRight)
{
  return aLeft.mDeniedBy == aRight.mDeniedBy &&
         std::ranges::equal(aLeft.mUnobserved, aRight.mUnobserved, {},
                            &UnobservedSince::mHost, &UnobservedSince::mHost);
}

/** Takes the first queued flow, and others of which the same hosts must be
 * asked. */
std::vector<QueriedFlow> FlowQueries::TakeBatch()
{
  std::vector<QueriedFlow> out;
  std::vector<FlowKey> skipped;
  const Flow* first = nullptr;
  bool isLimited = mHosts.size() > kMaxHosts;
  while (!mQueue.empty() && out.size() < FlowQuery::kMaxFlows &&
         skipped.size() < kMaxInspected) {
    FlowKey key = mQueue.front();
    mQueue.pop_front();
    auto it = mFlows.find(key);
    if (it == mFlows.end() || it->second.mStage != Stage::Queued) {
      continue;
    }
    bool dependsOnRoute = isLimited || !it->second.mUnobserved.empty();
    bool fits =
      first == nullptr ||
      (AsksSameHosts(it->second, *first) &&
       (!dependsOnRoute || key.mService == out.front().mFlow.mService));
    if (!fits) {
      skipped.push_back(key);
      continue;
    }
    first = &it->second;
    it->second.mStage = Stage::Asked;
    it->second.mBatch = mNextBatch;
    out.push_back(it->second.mLastPacket);
  }
  mQueue.insert(mQueue.begin(), skipped.begin(), skipped.end());
  return out;
}

std::vector<QueriedHost> FlowQueries::HostsToAsk(const FlowKey& aKey,
                                                 const Flow& aFlow,
                                                 Time aNow) const
{
  std::vector<QueriedHost> out;
  std::ranges::copy_if(mHosts, std::back_inserter(out),
                       [&](const QueriedHost& aIt) {
                         return !IsAbsent(aKey, aFlow, aIt.mHost, aNow);
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

bool FlowQueries::IsAbsentEverywhere(const FlowKey& aKey, const Flow& aFlow,
                                     Time aNow) const
{
  return std::ranges::all_of(mHosts, [&](const QueriedHost& aIt) {
    return IsAbsent(aKey, aFlow, aIt.mHost, aNow);
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
  SetUnobserved(flow, aOutcome.mUnobserved, aNow);
  flow.mStage = Stage::Undecided;
  if (TryConclude(it->first, flow, aNow)) {
    return;
  }
  bool allAreAsked = mHosts.size() <= kMaxHosts;
  if (IsAbsentEverywhere(it->first, flow, aNow) && allAreAsked) {
    flow.mStage = Stage::Denied;
    mDenied.push_back(it->first);
  } else if (!aOutcome.mUndecided.empty()) {
    WaitForUndecided(it->first, flow, aOutcome.mUndecided, aNow);
  } else if (aOutcome.mIsComplete && allAreAsked) {
    // Hosts were added while the others replied.
    Enqueue(it->first, flow);
  }
}

void FlowQueries::SetUnobserved(Flow& aFlow,
                                std::span<const UnobservedMember> aHosts,
                                Time aNow)
{
  for (const UnobservedMember& it : aHosts) {
    std::erase_if(aFlow.mUnobserved, [&](const UnobservedSince& aIt) {
      return aIt.mHost == it.mHost;
    });
    aFlow.mUnobserved.push_back(
      { it.mHost, aNow - it.mAges.mHost, aNow - it.mAges.mAgent });
  }
  std::ranges::sort(aFlow.mUnobserved, {}, &UnobservedSince::mHost);
}

/** Probes undecided hosts, once for each packet of the caller, and asks their
 * agents again after that, and when one more host can be excluded.
 *
 * Guards against: the agents of a few hosts started a moment later than these,
 * and cannot tell what the hosts hold. Callers of all lost flows would wait for
 * their retransmission, which finds the probe's result, and miss their target.
 */
void FlowQueries::WaitForUndecided(const FlowKey& aKey, Flow& aFlow,
                                   std::span<const Address> aHosts, Time aNow)
{
  ProbeResult probe = aFlow.mWasProbed ? ProbeResult::NotProbed
                                       : mOutput.OnUndecided(aKey, aHosts);
  if (probe == ProbeResult::Probed) {
    aFlow.mWasProbed = true;
    AskAgainAt(aKey, aFlow, Stage::Probed, aNow + kProbeDuration);
  } else if (probe == ProbeResult::Awaiting) {
    aFlow.mStage = Stage::Waiting;
    mAwaiting.insert(aKey);
  } else if (auto next = NextExclusionAt(aKey, aFlow, aNow)) {
    AskAgainAt(aKey, aFlow, Stage::Waiting, *next);
  }
}

/** When the host can be excluded from those that may hold the flow; unset if
 * that is not known. */
std::optional<Time> FlowQueries::ExcludableAt(const FlowKey& aFlow,
                                              const UnobservedSince& aHost,
                                              Time aNow) const
{
  if (mOptions.mGuards.mCheckRouteServices &&
      mOutput.MayHold(aFlow, aHost.mHost)) {
    return std::nullopt;
  }
  return mExclusion.ExcludableAt(aHost.mHostStartedAt, aHost.mAgentStartedAt,
                                 aNow);
}

/** When the next of the hosts that are not excluded yet can be. */
std::optional<Time> FlowQueries::NextExclusionAt(const FlowKey& aKey,
                                                 const Flow& aFlow,
                                                 Time aNow) const
{
  std::optional<Time> next;
  for (const UnobservedSince& it : aFlow.mUnobserved) {
    auto at = ExcludableAt(aKey, it, aNow);
    if (at && *at > aNow) {
      next = EarlierOf(next, *at);
    }
  }
  return next;
}

/** Whether the host has denied the flow or is excluded. */
bool FlowQueries::IsAbsent(const FlowKey& aKey, const Flow& aFlow, HostId aHost,
                           Time aNow) const
{
  if (std::ranges::binary_search(aFlow.mDeniedBy, aHost)) {
    return true;
  }
  auto it =
    std::ranges::find(aFlow.mUnobserved, aHost, &UnobservedSince::mHost);
  if (it == aFlow.mUnobserved.end()) {
    return false;
  }
  auto at = ExcludableAt(aKey, *it, aNow);
  return at && *at <= aNow;
}

void FlowQueries::AskAgainAt(const FlowKey& aKey, Flow& aFlow, Stage aStage,
                             Time aAt)
{
  aFlow.mStage = aStage;
  mAskAgain.emplace(aAt, aKey);
}

void FlowQueries::QueueWaiting(Time aNow)
{
  while (!mAskAgain.empty() && mAskAgain.begin()->first <= aNow) {
    EnqueueWaiting(mAskAgain.extract(mAskAgain.begin()).mapped(), aNow);
  }
}

void FlowQueries::EnqueueWaiting(const FlowKey& aKey, Time aNow)
{
  auto it = mFlows.find(aKey);
  bool isWaiting = it != mFlows.end() && (it->second.mStage == Stage::Probed ||
                                          it->second.mStage == Stage::Waiting);
  if (!isWaiting) {
    return;
  }
  if (aNow - it->second.mLastPacketAt < kCallerTimeout) {
    Enqueue(it->first, it->second);
  } else {
    it->second.mStage = Stage::Undecided;
  }
}

void FlowQueries::ResumeAwaiting(Time aNow)
{
  for (const FlowKey& it : std::exchange(mAwaiting, {})) {
    EnqueueWaiting(it, aNow);
  }
  StartBatchIfDue(aNow);
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
      (guards.mRequireEveryHost && !IsAbsentEverywhere(aKey, aFlow, aNow)) ||
      (guards.mCheckPendingOffer && mOutput.HasPendingOffer(aKey))) {
    return false;
  }
  aFlow.mStage = Stage::HeldNowhere;
  auto excluded = std::ranges::count_if(mHosts, [&](const QueriedHost& aIt) {
    return !std::ranges::binary_search(aFlow.mDeniedBy, aIt.mHost);
  });
  mOutput.OnHeldNowhere(
    aFlow.mLastPacket,
    { aFlow.mDeniedBy.size(), static_cast<std::size_t>(excluded) });
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
    } else if (IsAbsentEverywhere(key, it->second, aNow)) {
      mDenied.push_back(key);
    } else {
      Enqueue(key, it->second);
    }
  }
}

void FlowQueries::OnTick(Time aNow)
{
  mRounds.OnTick(aNow);
  QueueWaiting(aNow);
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
  if (!mAskAgain.empty()) {
    next = EarlierOf(next, mAskAgain.begin()->first);
  }
  return next;
}

} // namespace heatherplank
