#include "src/passthrough/FlowQueryRelay.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** FlowQuery::mRound towards the asked agents: the round's id, then the index
 * of the asked agent, by which its reply is recognised. */
constexpr std::uint32_t kIndexBits = 7;
constexpr std::uint32_t kIndexMask = (1U << kIndexBits) - 1;
constexpr std::uint32_t kIdMask = UINT32_MAX >> kIndexBits;
static_assert(FlowQuery::kMaxHosts <= kIndexMask);

/** Unset if one is not known. */
std::optional<Duration> OlderOf(std::optional<Duration> aLeft,
                                std::optional<Duration> aRight)
{
  return aLeft && aRight ? std::max(aLeft, aRight) : std::nullopt;
}

} // namespace

FlowQueryRelay::FlowQueryRelay(const Options& aOptions,
                               FlowQueryRelayOutput& aOutput)
  : mOptions(aOptions)
  , mOutput(aOutput)
{
}

void FlowQueryRelay::OnQuery(const FlowQuery& aQuery, Time aNow)
{
  Round round;
  round.mAskerRound = aQuery.mRound;
  round.mAsker = aQuery.mAsker;
  round.mStartedAt = aNow;
  AnswerForSelf(aQuery, round);
  if (aQuery.mHosts.empty() || round.mForwarded.empty()) {
    Finish(round);
    return;
  }
  if (mRounds.size() >= kMaxRounds) {
    return;
  }
  std::uint32_t id = mNextId++ & kIdMask;
  AskOthers(aQuery, round, id);
  mRounds.insert_or_assign(id, std::move(round));
}

void FlowQueryRelay::AnswerForSelf(const FlowQuery& aQuery, Round& aRound)
{
  AskedHost& self =
    aRound.mHosts.emplace_back(AskedHost{ mOptions.mSelf, true, false });
  std::vector<FlowAnswer> found;
  bool isUnobserved = true;
  for (std::size_t i = 0; i < aQuery.mFlows.size(); ++i) {
    FlowState& flow = aRound.mFlows.emplace_back();
    flow.mIndex = static_cast<std::uint8_t>(i);
    FlowOutcome outcome = mOutput.Answer(aQuery.mFlows[i]);
    if (outcome == FlowOutcome::Held) {
      flow.mHolder = mOptions.mHost;
      found.push_back({ flow.mIndex, outcome, mOptions.mHost });
      continue;
    }
    flow.mIsUnknown = outcome == FlowOutcome::Unknown;
    self.mIsUndecided = self.mIsUndecided || flow.mIsUnknown;
    isUnobserved = isUnobserved &&
                   (!flow.mIsUnknown ||
                    mOutput.IsUnknownBecauseUnobserved(aQuery.mFlows[i].mFlow));
    aRound.mForwarded.push_back(flow.mIndex);
  }
  self.mHostAge = mOutput.AgeAfterCommonStart();
  if (self.mIsUndecided && isUnobserved) {
    self.mUnobserved = mOutput.Ages();
  }
  if (!aQuery.mHosts.empty() && !aRound.mForwarded.empty()) {
    ReportFound(aRound, std::move(found));
  }
}

void FlowQueryRelay::AskOthers(const FlowQuery& aQuery, Round& aRound,
                               std::uint32_t aId)
{
  FlowQuery query;
  query.mAsker = mOptions.mSelf;
  for (std::uint8_t it : aRound.mForwarded) {
    query.mFlows.push_back(aQuery.mFlows[it]);
  }
  for (const Address& it : aQuery.mHosts) {
    auto index = static_cast<std::uint32_t>(aRound.mHosts.size());
    aRound.mHosts.push_back({ it, false, false });
    query.mRound = (aId << kIndexBits) | index;
    mOutput.Query(it, query);
  }
  aRound.mPendingReplies = aQuery.mHosts.size();
}

void FlowQueryRelay::OnReply(const FlowQueryReply& aReply)
{
  auto it = mRounds.find(aReply.mRound >> kIndexBits);
  if (it == mRounds.end()) {
    return;
  }
  Round& round = it->second;
  std::size_t index = aReply.mRound & kIndexMask;
  if (index >= round.mHosts.size() || round.mHosts[index].mHasReplied) {
    return;
  }
  auto found = Merge(aReply, round, round.mHosts[index]);
  --round.mPendingReplies;
  if (round.mPendingReplies > 0 && !IsSettled(round)) {
    ReportFound(round, std::move(found));
    return;
  }
  Finish(round);
  mRounds.erase(it);
}

std::vector<FlowAnswer> FlowQueryRelay::Merge(const FlowQueryReply& aReply,
                                              Round& aRound, AskedHost& aFrom)
{
  aFrom.mHasReplied = true;
  std::vector<FlowAnswer> found;
  std::vector<bool> isAnswered(aRound.mForwarded.size(), false);
  for (const FlowAnswer& it : aReply.mAnswers) {
    if (it.mFlowIndex >= aRound.mForwarded.size()) {
      continue;
    }
    isAnswered[it.mFlowIndex] = true;
    FlowState& flow = aRound.mFlows[aRound.mForwarded[it.mFlowIndex]];
    if (it.mOutcome == FlowOutcome::Held && !flow.mHolder) {
      flow.mHolder = it.mHost;
      found.push_back({ flow.mIndex, it.mOutcome, it.mHost });
    } else if (it.mOutcome == FlowOutcome::Unknown) {
      flow.mIsUnknown = true;
      aFrom.mIsUndecided = true;
    }
  }
  bool isComplete = true;
  for (std::size_t i = 0; i < isAnswered.size(); ++i) {
    if (!isAnswered[i]) {
      isComplete = false;
      aRound.mFlows[aRound.mForwarded[i]].mIsUnknown = true;
      aFrom.mIsUndecided = true;
    }
  }
  aFrom.mHostAge = aReply.mOldestHost;
  if (isComplete && aReply.mUnobserved.size() == 1) {
    aFrom.mUnobserved = aReply.mUnobserved.front().mAges;
  }
  return found;
}

bool FlowQueryRelay::IsSettled(const Round& aRound)
{
  return std::ranges::all_of(aRound.mFlows, [](const FlowState& aIt) {
    return aIt.mHolder.has_value();
  });
}

void FlowQueryRelay::ReportFound(const Round& aRound,
                                 std::vector<FlowAnswer> aFound)
{
  if (aFound.empty()) {
    return;
  }
  FlowQueryReply reply;
  reply.mRound = aRound.mAskerRound;
  reply.mFrom = mOptions.mHost;
  reply.mIsFinal = false;
  reply.mAnswers = std::move(aFound);
  mOutput.Reply(aRound.mAsker, reply);
}

void FlowQueryRelay::Finish(const Round& aRound)
{
  FlowQueryReply reply;
  reply.mRound = aRound.mAskerRound;
  reply.mFrom = mOptions.mHost;
  bool isIncomplete = false;
  reply.mOldestHost = Duration::zero();
  for (const AskedHost& it : aRound.mHosts) {
    isIncomplete = isIncomplete || !it.mHasReplied;
    if (!it.mHasReplied || it.mIsUndecided) {
      reply.mUndecided.push_back(it.mTunnel);
    }
    if (it.mHasReplied) {
      reply.mOldestHost = OlderOf(reply.mOldestHost, it.mHostAge);
    }
    if (it.mUnobserved) {
      reply.mUnobserved.push_back({ it.mTunnel, *it.mUnobserved });
    }
  }
  for (const FlowState& it : aRound.mFlows) {
    FlowOutcome outcome = FlowOutcome::NotHeld;
    if (it.mHolder) {
      outcome = FlowOutcome::Held;
    } else if (it.mIsUnknown || isIncomplete) {
      outcome = FlowOutcome::Unknown;
    }
    reply.mAnswers.push_back(
      { it.mIndex, outcome, it.mHolder.value_or(HostId{}) });
  }
  mOutput.Reply(aRound.mAsker, reply);
}

void FlowQueryRelay::OnTick(Time aNow)
{
  std::erase_if(mRounds, [&](auto& aIt) {
    bool hasTimedOut = aNow - aIt.second.mStartedAt >= kRoundTimeout;
    if (hasTimedOut) {
      Finish(aIt.second);
    }
    return hasTimedOut;
  });
}

} // namespace heatherplank
