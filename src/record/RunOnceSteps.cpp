// The parts of RunOnce that time and the platform move.
#include <algorithm>

#include "src/record/RunOnce.h"

namespace heatherplank {

namespace {

/** A full shard has room again after a rotation, not in a moment. */
constexpr Duration kFullShardRetry = std::chrono::minutes(1);

/** True if the platform itself gave the answer, welcome or not. */
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

void RunOnce::SayNotRun(RequestToken aRequest, RunOnceReason aReason, Time aNow)
{
  ++mCounts[static_cast<std::size_t>(aReason)];
  Duration after = aReason == RunOnceReason::ShardFull ? kFullShardRetry
                                                       : mGate.RetryAfter(aNow);
  after += std::max(Duration{}, mHomeDownUntil - aNow);
  mActions.emplace_back(NotRun{ aRequest, aReason, after });
}

void RunOnce::SayUnknown(RequestToken aRequest, RunOnceReason aReason)
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

void RunOnce::UnknownToAll(KeyState& aState, RunOnceReason aReason)
{
  for (const Waiter& it : aState.mWaiters) {
    SayUnknown(it.mRequest, aReason);
  }
  aState.mWaiters.clear();
}

void RunOnce::NotRunToAll(KeyState& aState, RunOnceReason aReason, Time aNow)
{
  for (const Waiter& it : aState.mWaiters) {
    SayNotRun(it.mRequest, aReason, aNow);
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
  Pump(aNow);
}

void RunOnce::TickKey(const std::string& aKey, KeyState& aState, Time aNow)
{
  switch (aState.mPhase) {
    case Phase::Claiming:
      TickClaim(aKey, aState, aNow);
      break;
    case Phase::Asking:
      TickAsking(aKey, aState, aNow);
      break;
    case Phase::AskingPeers:
      if (aNow - aState.mSince >= mOptions.mPeerWait) {
        UnknownToAll(aState, RunOnceReason::PeersSilent);
        Drop(aKey);
      }
      break;
    case Phase::Granted:
      TickGranted(aKey, aState, aNow);
      break;
    case Phase::Running:
      DropLateWaiters(aState, true, aNow);
      break;
    case Phase::Ended:
      if (aState.mRecorded && aNow - aState.mSince >= mOptions.mKeepEnded) {
        Drop(aKey);
      }
      break;
  }
}

void RunOnce::TickClaim(const std::string& aKey, KeyState& aState, Time aNow)
{
  auto next = std::ranges::min_element(aState.mWaiters, {}, &Waiter::mDeadline);
  bool anyone = next != aState.mWaiters.end();
  bool blind = !HasSeenShard(aKey, aState);
  if (anyone && blind && aNow + mOptions.mPeerWait >= next->mDeadline) {
    Withdraw(aKey, aState, aNow);
    StartAskingPeers(aKey, aState, RunOnceReason::DeadlinePassed, aNow);
    return;
  }
  DropLateWaiters(aState, false, aNow);
  if (aState.mWaiters.empty()) {
    Withdraw(aKey, aState, aNow);
    Drop(aKey);
  }
}

void RunOnce::TickAsking(const std::string& aKey, KeyState& aState, Time aNow)
{
  bool silent = aState.mUnanswered > mOptions.mAskTries;
  if (silent) {
    UnknownToAll(aState, RunOnceReason::HolderSilent);
  }
  DropLateWaiters(aState, true, aNow);
  if (aState.mWaiters.empty()) {
    Drop(aKey);
    return;
  }
  if (aNow - aState.mSince >= mOptions.mAskEvery) {
    Ask(aKey, aState, aNow);
  }
}

void RunOnce::TickGranted(const std::string& aKey, KeyState& aState, Time aNow)
{
  const Waiter& first = aState.mWaiters.front();
  if (first.mDeadline > aNow) {
    return;
  }
  SayNotRun(first.mRequest, RunOnceReason::HolderLate, aNow);
  aState.mWaiters.erase(aState.mWaiters.begin());
  PassOn(aKey, aState, aNow);
}

/** Failure met: a request is answered "not run" at its deadline, its grant is
 * committed a moment later, and it is dispatched after all. Shown as a false
 * not-run. It holds since a waiter that was answered is gone, and a grant
 * without waiters is withdrawn and never handed out. */
void RunOnce::DropLateWaiters(KeyState& aState, bool aMayHaveRun, Time aNow)
{
  auto late = [&](const Waiter& aWaiter) {
    if (aWaiter.mDeadline > aNow) {
      return false;
    }
    if (aMayHaveRun) {
      SayUnknown(aWaiter.mRequest, RunOnceReason::StillRunning);
    } else {
      SayNotRun(aWaiter.mRequest, RunOnceReason::DeadlinePassed, aNow);
    }
    return aMayHaveRun || mOptions.mDropGivenUp;
  };
  std::erase_if(aState.mWaiters, late);
}

bool RunOnce::HasSeenShard(const std::string& aKey, const KeyState& aState)
{
  ShardWriter& writer = WriterOf(aKey);
  if (!writer.IsClaiming(aKey, aState.mNonce)) {
    return false;
  }
  std::uint64_t seenBy = writer.SeenBy();
  return std::ranges::all_of(aState.mWaiters, [seenBy](const Waiter& aWaiter) {
    return aWaiter.mCallsBefore < seenBy;
  });
}

bool RunOnce::IsTooSlowFor(const std::string& aKey, Time aDeadline, Time aNow)
{
  bool writeNext = WriterOf(aKey).NextIsWrite();
  Duration expected = mGate.ExpectedCall(true, aNow);
  if (!writeNext) {
    expected += mGate.ExpectedCall(false, aNow);
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

void RunOnce::Pump(Time aNow)
{
  SendWishes(aNow);
  // Round robin over the shards: when tokens are short, what waits longest
  // goes first, and the claims that join it meanwhile share its write.
  auto start = mWriters.lower_bound(mNextShard);
  for (auto it = start; it != mWriters.end(); ++it) {
    if (!PumpShard(it->first, it->second, aNow)) {
      return;
    }
  }
  for (auto it = mWriters.begin(); it != start; ++it) {
    if (!PumpShard(it->first, it->second, aNow)) {
      return;
    }
  }
}

bool RunOnce::PumpShard(std::uint32_t aShard, ShardWriter& aWriter, Time aNow)
{
  if (!aWriter.IsDue(aNow)) {
    return true;
  }
  Settle(aWriter.Review(aNow), aNow);
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
  mFlights[ticket] = { aShard, aNow };
  std::string object = mOptions.mPrefix + "/" + std::to_string(aShard);
  mActions.emplace_back(StoreCall{ ticket, std::move(object), call.mIsWrite,
                                   std::move(call.mValue), call.mCondition });
  return true;
}

ShardWriter* RunOnce::Land(CallTicket aTicket, bool aAnswered, Time aNow)
{
  auto it = mFlights.find(aTicket);
  if (it == mFlights.end()) {
    return nullptr;
  }
  Flight flight = it->second;
  mFlights.erase(it);
  if (aAnswered) {
    mGate.OnAnswer(aNow - flight.mStarted, aNow);
  } else {
    mGate.OnFailure(aNow);
  }
  return &mWriters.at(flight.mShard);
}

void RunOnce::OnGet(CallTicket aTicket, const Result<Object>& aResult,
                    Time aNow)
{
  bool answered = aResult.has_value() || IsAnswer(aResult.error());
  ShardWriter* writer = Land(aTicket, answered, aNow);
  if (writer == nullptr) {
    return;
  }
  Settle(writer->OnGet(aResult, aNow), aNow);
  RefuseIfDown(aNow);
  Pump(aNow);
}

void RunOnce::OnPut(CallTicket aTicket, const Result<std::uint64_t>& aResult,
                    Time aNow)
{
  bool answered = aResult.has_value() || IsAnswer(aResult.error());
  ShardWriter* writer = Land(aTicket, answered, aNow);
  if (writer == nullptr) {
    return;
  }
  Settle(writer->OnPut(aResult, aNow), aNow);
  RefuseIfDown(aNow);
  Pump(aNow);
}

void RunOnce::Settle(const std::vector<ShardOutcome>& aOutcomes, Time aNow)
{
  for (const ShardOutcome& it : aOutcomes) {
    OnOutcome(it, aNow);
  }
  Tell(aOutcomes, aNow);
}

/** Requests that wait for a grant when the breaker opens are given up then and
 * there, not at their deadlines. */
void RunOnce::RefuseIfDown(Time aNow)
{
  if (!mGate.Refuses(aNow)) {
    return;
  }
  for (auto& [shard, writer] : mWriters) {
    Tell(writer.RefuseClaims(mHost), aNow);
  }
  for (auto it = mKeys.begin(); it != mKeys.end();) {
    auto& [key, state] = *it;
    ++it;
    bool remote = mRemote.contains(state.mNonce);
    if (state.mPhase != Phase::Claiming || remote) {
      continue;
    }
    bool seen = HasSeenShard(key, state);
    Withdraw(key, state, aNow);
    if (seen) {
      NotRunToAll(state, RunOnceReason::PlatformDown, aNow);
      Drop(key);
    } else {
      StartAskingPeers(key, state, RunOnceReason::PlatformDown, aNow);
    }
  }
}

} // namespace heatherplank
