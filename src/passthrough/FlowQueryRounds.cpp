#include "src/passthrough/FlowQueryRounds.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Hosts that one query covers, its relay included. */
constexpr std::size_t kHostsPerRound = FlowQuery::kMaxHosts;

} // namespace

FlowQueryRounds::FlowQueryRounds(const Options& aOptions,
                                 FlowQueryRoundsOutput& aOutput)
  : mOptions(aOptions)
  , mOutput(aOutput)
  , mNextRound(aOptions.mFirstRound)
{
}

void FlowQueryRounds::Ask(std::uint64_t aBatch,
                          std::span<const QueriedFlow> aFlows,
                          std::vector<QueriedHost> aHosts, Time aNow)
{
  Batch& batch = mBatches[aBatch];
  for (const QueriedFlow& it : aFlows) {
    batch.mOutcomes.emplace_back().mFlow = it;
  }
  batch.mStartedAt = aNow;
  batch.mFound.resize(batch.mOutcomes.size(), false);
  auto others = std::stable_partition(
    aHosts.begin(), aHosts.end(), [this](const QueriedHost& aIt) {
      return aIt.mDataCentre == mOptions.mDataCentre;
    });
  std::vector<QueriedHost> later(others, aHosts.end());
  aHosts.erase(others, aHosts.end());
  if (aHosts.empty()) {
    StartRounds(aBatch, std::move(later), aNow);
    return;
  }
  batch.mLater = std::move(later);
  StartRounds(aBatch, std::move(aHosts), aNow);
}

/** Starts a round in each data centre of aHosts; more than one where a data
 * centre has more hosts than a query covers. */
void FlowQueryRounds::StartRounds(std::uint64_t aBatch,
                                  std::vector<QueriedHost> aHosts, Time aNow)
{
  std::uint64_t hash = HashFlow(mBatches[aBatch].mOutcomes.front().mFlow.mFlow);
  struct Ranked
  {
    QueriedHost mHost;
    bool mIsAvoided;
    std::uint64_t mScore;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aHosts.size());
  for (const QueriedHost& it : aHosts) {
    ranked.push_back({ it, it.mIsLeaving || IsAvoided(it, aNow),
                       MixHash(it.mHost.mValue, hash) });
  }
  std::ranges::sort(ranked, [](const Ranked& aLeft, const Ranked& aRight) {
    if (aLeft.mHost.mDataCentre != aRight.mHost.mDataCentre) {
      return aLeft.mHost.mDataCentre < aRight.mHost.mDataCentre;
    }
    return std::pair(aLeft.mIsAvoided, aLeft.mScore) <
           std::pair(aRight.mIsAvoided, aRight.mScore);
  });
  std::ranges::transform(ranked, aHosts.begin(), &Ranked::mHost);
  std::span<const QueriedHost> rest = aHosts;
  while (!rest.empty()) {
    std::size_t n = 0;
    while (n < rest.size() && n < kHostsPerRound &&
           rest[n].mDataCentre == rest.front().mDataCentre) {
      ++n;
    }
    StartRound(aBatch, rest.first(n), aNow);
    rest = rest.subspan(n);
  }
}

void FlowQueryRounds::StartRound(std::uint64_t aBatch,
                                 std::span<const QueriedHost> aHosts, Time aNow)
{
  Batch& batch = mBatches[aBatch];
  Round round;
  round.mBatch = aBatch;
  for (std::size_t i = 0; i < batch.mOutcomes.size(); ++i) {
    if (!batch.mFound[i]) {
      round.mFlows.push_back(static_cast<std::uint8_t>(i));
    }
  }
  round.mHosts.assign(aHosts.begin(), aHosts.end());
  ++batch.mOpenRounds;
  std::uint32_t id = mNextRound++;
  Send(id, mRounds.insert_or_assign(id, std::move(round)).first->second, aNow);
}

void FlowQueryRounds::Send(std::uint32_t aId, Round& aRound, Time aNow)
{
  aRound.mSentAt = aNow;
  const Batch& batch = mBatches[aRound.mBatch];
  FlowQuery query;
  query.mRound = aId;
  query.mAsker = mOptions.mSelf;
  for (std::size_t i = 0; i < aRound.mHosts.size(); ++i) {
    if (i != aRound.mRelay) {
      query.mHosts.push_back(aRound.mHosts[i].mTunnel);
    }
  }
  for (std::uint8_t it : aRound.mFlows) {
    query.mFlows.push_back(batch.mOutcomes[it].mFlow);
  }
  mOutput.SendQuery(aRound.mHosts[aRound.mRelay].mTunnel, query);
}

bool FlowQueryRounds::IsAvoided(const QueriedHost& aHost, Time aNow) const
{
  auto it = mUnresponsive.find(aHost.mHost);
  return it != mUnresponsive.end() && aNow - it->second < kRelayAvoidance;
}

void FlowQueryRounds::OnReply(const FlowQueryReply& aReply, Time aNow)
{
  mUnresponsive.erase(aReply.mFrom);
  auto it = mRounds.find(aReply.mRound);
  if (it == mRounds.end()) {
    return;
  }
  Batch& batch = mBatches[it->second.mBatch];
  bool lacksAnswers = aReply.mAnswers.size() < it->second.mFlows.size();
  if (aReply.mIsFinal && lacksAnswers) {
    MarkIncomplete(it->second);
  }
  for (const FlowAnswer& answer : aReply.mAnswers) {
    if (answer.mFlowIndex < it->second.mFlows.size()) {
      RecordAnswer(batch, it->second.mFlows[answer.mFlowIndex], answer,
                   it->second, aReply, aNow);
    }
  }
  if (aReply.mIsFinal) {
    Round round = std::move(it->second);
    mRounds.erase(it);
    EndRound(round, aNow);
  }
}

void FlowQueryRounds::RecordAnswer(Batch& aBatch, std::size_t aFlow,
                                   const FlowAnswer& aAnswer,
                                   const Round& aRound,
                                   const FlowQueryReply& aReply, Time aNow)
{
  if (aBatch.mFound[aFlow]) {
    return;
  }
  QueryOutcome& outcome = aBatch.mOutcomes[aFlow];
  if (aAnswer.mOutcome == FlowOutcome::Held) {
    aBatch.mFound[aFlow] = true;
    mOutput.OnHeld(outcome.mFlow.mFlow, aAnswer.mHost, aNow);
    return;
  }
  if (!aReply.mIsFinal) {
    return;
  }
  bool isDenied = aAnswer.mOutcome == FlowOutcome::NotHeld;
  if (!isDenied && aReply.mUndecided.empty()) {
    outcome.mIsComplete = false;
    return;
  }
  for (const QueriedHost& it : aRound.mHosts) {
    if (isDenied || std::ranges::count(aReply.mUndecided, it.mTunnel) == 0) {
      outcome.mDenied.push_back(it.mHost);
    } else {
      outcome.mUndecided.push_back(it.mTunnel);
      auto unobserved = std::ranges::find(aReply.mUnobserved, it.mTunnel,
                                          &UnobservedHost::mTunnel);
      if (unobserved != aReply.mUnobserved.end()) {
        outcome.mUnobserved.push_back({ it.mHost, unobserved->mAges });
      }
    }
  }
}

void FlowQueryRounds::EndRound(const Round& aRound, Time aNow)
{
  Batch& batch = mBatches[aRound.mBatch];
  if (--batch.mOpenRounds > 0) {
    return;
  }
  bool isFound = std::ranges::count(batch.mFound, false) == 0;
  if (isFound || batch.mLater.empty()) {
    EndBatch(aRound.mBatch, aNow);
  } else {
    AskOthers(aRound.mBatch, aNow);
  }
}

void FlowQueryRounds::AskOthers(std::uint64_t aBatch, Time aNow)
{
  auto hosts = std::exchange(mBatches[aBatch].mLater, {});
  StartRounds(aBatch, std::move(hosts), aNow);
}

void FlowQueryRounds::MarkIncomplete(const Round& aRound)
{
  Batch& batch = mBatches[aRound.mBatch];
  for (std::uint8_t it : aRound.mFlows) {
    batch.mOutcomes[it].mIsComplete = false;
  }
}

void FlowQueryRounds::EndBatch(std::uint64_t aId, Time aNow)
{
  Batch batch = std::move(mBatches[aId]);
  mBatches.erase(aId);
  std::vector<QueryOutcome> out;
  for (std::size_t i = 0; i < batch.mOutcomes.size(); ++i) {
    if (!batch.mFound[i]) {
      out.push_back(std::move(batch.mOutcomes[i]));
    }
  }
  mOutput.OnEnded(aId, out, aNow);
}

void FlowQueryRounds::OnTick(Time aNow)
{
  for (auto& [id, batch] : mBatches) {
    bool isDue = aNow - batch.mStartedAt >= kOwnDataCentreTimeout;
    if (isDue && !batch.mLater.empty() &&
        std::ranges::count(batch.mFound, false) > 0) {
      AskOthers(id, aNow);
    }
  }
  std::vector<std::uint32_t> late;
  for (const auto& [id, round] : mRounds) {
    if (aNow - round.mSentAt >= kReplyTimeout) {
      late.push_back(id);
    }
  }
  std::ranges::sort(late);
  for (std::uint32_t it : late) {
    OnTimeout(it, aNow);
  }
  std::erase_if(mUnresponsive, [&](const auto& aIt) {
    return aNow - aIt.second >= kRelayAvoidance;
  });
}

void FlowQueryRounds::OnTimeout(std::uint32_t aId, Time aNow)
{
  auto it = mRounds.find(aId);
  if (it == mRounds.end()) {
    return;
  }
  Round& round = it->second;
  const auto& found = mBatches[round.mBatch].mFound;
  bool isFound = std::ranges::all_of(
    round.mFlows, [&](std::uint8_t aIt) -> bool { return found[aIt]; });
  mUnresponsive[round.mHosts[round.mRelay].mHost] = aNow;
  if (!round.mIsRepeated && !isFound) {
    round.mIsRepeated = true;
    round.mRelay = round.mHosts.size() > 1 ? 1 : 0;
    Send(aId, round, aNow);
    return;
  }
  Round ended = std::move(round);
  mRounds.erase(it);
  MarkIncomplete(ended);
  EndRound(ended, aNow);
}

std::optional<Time> FlowQueryRounds::NextAt() const
{
  std::optional<Time> next;
  for (const auto& [id, round] : mRounds) {
    next = EarlierOf(next, round.mSentAt + kReplyTimeout);
  }
  for (const auto& [id, batch] : mBatches) {
    if (!batch.mLater.empty() && std::ranges::count(batch.mFound, false) > 0) {
      next = EarlierOf(next, batch.mStartedAt + kOwnDataCentreTimeout);
    }
  }
  return next;
}

} // namespace heatherplank
