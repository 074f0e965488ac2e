// Answers, timeouts and platform calls of RunOnce.
#include <algorithm>

#include "src/record/RunOnce.h"

namespace heatherplank {

namespace {

/** Long, because a full shard has room only after its next rotation. */
constexpr Duration kFullShardRetryAfter = std::chrono::minutes(1);

/** True if the error is an answer of the platform, so that it is up. */
bool IsAnswer(const Error& aError)
{
  return aError.mKind == ErrorKind::NotFound ||
         aError.mKind == ErrorKind::Conflict ||
         aError.mKind == ErrorKind::TooLarge;
}

} // namespace

RunOnce::KeyState* RunOnce::Find(const std::string& aKey, Phase aPhase)
{
  auto it = mKeys.find(aKey);
  bool found = it != mKeys.end() && it->second.mPhase == aPhase;
  return found ? &it->second : nullptr;
}

void RunOnce::Drop(const std::string& aKey)
{
  mKeys.erase(mKeys.find(aKey));
}

RunOnce::KeyState* RunOnce::FindAttempt(const std::string& aKey, Nonce aNonce,
                                        Phase aPhase)
{
  KeyState* state = Find(aKey, aPhase);
  return state != nullptr && state->mNonce == aNonce ? state : nullptr;
}

void RunOnce::AnswerNotRun(RequestToken aRequest, RunOnceReason aReason,
                           Time aNow)
{
  ++mCounts[static_cast<std::size_t>(aReason)];
  Duration after = aReason == RunOnceReason::ShardFull ? kFullShardRetryAfter
                                                       : mGate.RetryAfter(aNow);
  after += std::max(Duration{}, mHomeDownUntil - aNow);
  mActions.emplace_back(NotRun{ aRequest, aReason, after });
}

void RunOnce::AnswerUnknown(RequestToken aRequest, RunOnceReason aReason)
{
  ++mCounts[static_cast<std::size_t>(aReason)];
  mActions.emplace_back(Unknown{ aRequest, aReason });
}

void RunOnce::AnswerAll(KeyState& aState, const std::string& aAnswer)
{
  for (const Waiter& it : aState.mWaiters) {
    mActions.emplace_back(Duplicate{ it.mRequest, aAnswer });
  }
  aState.mWaiters.clear();
}

void RunOnce::AnswerUnknownToAll(KeyState& aState, RunOnceReason aReason)
{
  for (const Waiter& it : aState.mWaiters) {
    AnswerUnknown(it.mRequest, aReason);
  }
  aState.mWaiters.clear();
}

void RunOnce::AnswerNotRunToAll(KeyState& aState, RunOnceReason aReason,
                                Time aNow)
{
  for (const Waiter& it : aState.mWaiters) {
    AnswerNotRun(it.mRequest, aReason, aNow);
  }
  aState.mWaiters.clear();
}

void RunOnce::OnTick(Time aNow)
{
  for (auto it = mKeys.begin(); it != mKeys.end();) {
    auto next = std::next(it);
    TickKey(it->first, it->second, aNow);
    it = next;
  }
  for (auto& [shard, writer] : mWriters) {
    writer.ReleaseIfIdle(aNow);
  }
  StartDueCalls(aNow);
}

void RunOnce::TickKey(const std::string& aKey, KeyState& aState, Time aNow)
{
  switch (aState.mPhase) {
    case Phase::Claiming:
      TickClaim(aKey, aState, aNow);
      break;
    case Phase::QueryingHolder:
      TickQueryingHolder(aKey, aState, aNow);
      break;
    case Phase::QueryingPeers:
      if (aNow - aState.mSince >= mOptions.mPeerTimeout) {
        AnswerUnknownToAll(aState, RunOnceReason::PeersSilent);
        Drop(aKey);
      }
      break;
    case Phase::Granted:
      TickGranted(aKey, aState, aNow);
      break;
    case Phase::Running:
      DropExpiredWaiters(aState, true, aNow);
      break;
    case Phase::Ended:
      if (aState.mRecorded &&
          aNow - aState.mSince >= mOptions.mEndedRetention) {
        Drop(aKey);
      }
      break;
  }
}

void RunOnce::TickClaim(const std::string& aKey, KeyState& aState, Time aNow)
{
  auto earliest =
    std::ranges::min_element(aState.mWaiters, {}, &Waiter::mDeadline);
  bool hasWaiters = earliest != aState.mWaiters.end();
  bool shardUnread = !HasReadShard(aKey, aState);
  if (hasWaiters && shardUnread &&
      aNow + mOptions.mPeerTimeout >= earliest->mDeadline) {
    Withdraw(aKey, aState, aNow);
    StartQueryingPeers(aKey, aState, RunOnceReason::DeadlinePassed, aNow);
    return;
  }
  DropExpiredWaiters(aState, false, aNow);
  if (aState.mWaiters.empty()) {
    Withdraw(aKey, aState, aNow);
    Drop(aKey);
  }
}

void RunOnce::TickQueryingHolder(const std::string& aKey, KeyState& aState,
                                 Time aNow)
{
  bool unresponsive =
    aState.mUnansweredQueries > mOptions.mMaxUnansweredQueries;
  if (unresponsive) {
    AnswerUnknownToAll(aState, RunOnceReason::HolderSilent);
  }
  DropExpiredWaiters(aState, true, aNow);
  if (aState.mWaiters.empty()) {
    Drop(aKey);
    return;
  }
  if (aNow - aState.mSince >= mOptions.mHolderQueryInterval) {
    QueryHolder(aKey, aState, aNow);
  }
}

void RunOnce::TickGranted(const std::string& aKey, KeyState& aState, Time aNow)
{
  const Waiter& first = aState.mWaiters.front();
  if (first.mDeadline > aNow) {
    return;
  }
  AnswerNotRun(first.mRequest, RunOnceReason::HolderLate, aNow);
  aState.mWaiters.erase(aState.mWaiters.begin());
  PassToNextWaiter(aKey, aState, aNow);
}

/** Guards against: a request is answered NotRun at its deadline, its grant is
 * committed shortly after, and the request is dispatched. An answered waiter is
 * removed, and a grant without waiters is withdrawn and never handed out. */
void RunOnce::DropExpiredWaiters(KeyState& aState, bool aMayHaveRun, Time aNow)
{
  auto isExpired = [&](const Waiter& aWaiter) {
    if (aWaiter.mDeadline > aNow) {
      return false;
    }
    if (aMayHaveRun) {
      AnswerUnknown(aWaiter.mRequest, RunOnceReason::StillRunning);
    } else {
      AnswerNotRun(aWaiter.mRequest, RunOnceReason::DeadlinePassed, aNow);
    }
    return aMayHaveRun || mOptions.mDropExpiredWaiters;
  };
  std::erase_if(aState.mWaiters, isExpired);
}

bool RunOnce::HasReadShard(const std::string& aKey, const KeyState& aState)
{
  ShardWriter& writer = WriterOf(aKey);
  if (!writer.IsClaiming(aKey, aState.mNonce)) {
    return false;
  }
  std::uint64_t contentCall = writer.ContentCall();
  return std::ranges::all_of(aState.mWaiters,
                             [contentCall](const Waiter& aWaiter) {
                               return aWaiter.mCallsBefore < contentCall;
                             });
}

bool RunOnce::IsPlatformTooSlow(const std::string& aKey, Time aDeadline,
                                Time aNow)
{
  bool writeNext = WriterOf(aKey).NextIsWrite();
  Duration expected = mGate.ExpectedCallDuration(true, aNow);
  if (!writeNext) {
    expected += mGate.ExpectedCallDuration(false, aNow);
  }
  return aNow + expected > aDeadline;
}

std::uint32_t RunOnce::ShardOf(const std::string& aKey) const
{
  return static_cast<std::uint32_t>(HashBytes(aKey) % mOptions.mShards);
}

ShardWriter& RunOnce::WriterOf(const std::string& aKey)
{
  return mWriters.try_emplace(ShardOf(aKey), mOptions.mShard).first->second;
}

std::uint64_t RunOnce::Conflicts() const
{
  std::uint64_t n = 0;
  for (const auto& [shard, writer] : mWriters) {
    n += writer.Conflicts();
  }
  return n;
}

void RunOnce::StartDueCalls(Time aNow)
{
  SendRemoteWrites(aNow);
  // Round robin over the shards: when tokens are short, the shard that has
  // waited longest goes first. Claims that arrive meanwhile share its write.
  auto start = mWriters.lower_bound(mNextShard);
  for (auto it = start; it != mWriters.end(); ++it) {
    if (!StartDueCall(it->first, it->second, aNow)) {
      return;
    }
  }
  for (auto it = mWriters.begin(); it != start; ++it) {
    if (!StartDueCall(it->first, it->second, aNow)) {
      return;
    }
  }
}

bool RunOnce::StartDueCall(std::uint32_t aShard, ShardWriter& aWriter,
                           Time aNow)
{
  if (!aWriter.IsDue(aNow)) {
    return true;
  }
  ApplyOutcomes(aWriter.SettleFromContent(aNow), aNow);
  if (!aWriter.IsDue(aNow)) {
    return true;
  }
  bool isWrite = aWriter.NextIsWrite();
  if (!mGate.Admit(isWrite, aNow)) {
    mNextShard = aShard;
    return false;
  }
  ++(isWrite ? mWrites : mReads);
  ShardCall call = aWriter.Start(aNow);
  CallTicket ticket = mNextTicket++;
  mCallsInFlight[ticket] = { aShard, aNow };
  std::string object = mOptions.mPrefix + "/" + std::to_string(aShard);
  mActions.emplace_back(StoreCall{ ticket, std::move(object), call.mIsWrite,
                                   std::move(call.mValue), call.mCondition });
  return true;
}

ShardWriter* RunOnce::CompleteCall(CallTicket aTicket, bool aAnswered,
                                   Time aNow)
{
  auto it = mCallsInFlight.find(aTicket);
  if (it == mCallsInFlight.end()) {
    return nullptr;
  }
  CallInFlight call = it->second;
  mCallsInFlight.erase(it);
  if (aAnswered) {
    mGate.OnAnswer(aNow - call.mStarted, aNow);
  } else {
    mGate.OnFailure(aNow);
  }
  return &mWriters.at(call.mShard);
}

void RunOnce::OnGet(CallTicket aTicket, const Result<Object>& aResult,
                    Time aNow)
{
  bool answered = aResult.has_value() || IsAnswer(aResult.error());
  ShardWriter* writer = CompleteCall(aTicket, answered, aNow);
  if (writer == nullptr) {
    return;
  }
  ApplyOutcomes(writer->OnGet(aResult, aNow), aNow);
  RefuseClaimsIfDown(aNow);
  StartDueCalls(aNow);
}

void RunOnce::OnPut(CallTicket aTicket, const Result<StoreVersion>& aResult,
                    Time aNow)
{
  bool answered = aResult.has_value() || IsAnswer(aResult.error());
  ShardWriter* writer = CompleteCall(aTicket, answered, aNow);
  if (writer == nullptr) {
    return;
  }
  ApplyOutcomes(writer->OnPut(aResult, aNow), aNow);
  RefuseClaimsIfDown(aNow);
  StartDueCalls(aNow);
}

void RunOnce::ApplyOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                            Time aNow)
{
  for (const ShardOutcome& it : aOutcomes) {
    OnOutcome(it, aNow);
  }
  SendOutcomes(aOutcomes, aNow);
}

/** When the breaker opens, gives up pending claims at once instead of at their
 * deadlines. */
void RunOnce::RefuseClaimsIfDown(Time aNow)
{
  if (!mGate.Refuses(aNow)) {
    return;
  }
  for (auto& [shard, writer] : mWriters) {
    SendOutcomes(writer.RefuseClaims(mHost), aNow);
  }
  for (auto it = mKeys.begin(); it != mKeys.end();) {
    auto& [key, state] = *it;
    ++it;
    bool remote = mRemoteWrites.contains(state.mNonce);
    if (state.mPhase != Phase::Claiming || remote) {
      continue;
    }
    bool shardRead = HasReadShard(key, state);
    Withdraw(key, state, aNow);
    if (shardRead) {
      AnswerNotRunToAll(state, RunOnceReason::PlatformDown, aNow);
      Drop(key);
    } else {
      StartQueryingPeers(key, state, RunOnceReason::PlatformDown, aNow);
    }
  }
}

} // namespace heatherplank
