#include "src/record/RunOnce.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

RunOnce::RunOnce(HostId aHost, Incarnation aIncarnation,
                 const RunOnceOptions& aOptions, std::uint64_t aSeed, Time aNow)
  : mHost(aHost)
  , mIncarnation(aIncarnation)
  , mOptions(aOptions)
  , mStartedAt(aNow)
  , mRandom(aSeed)
  , mGate(aOptions.mGate, mRandom())
{
}

std::vector<RunOnceAction> RunOnce::TakeActions()
{
  return std::exchange(mActions, {});
}

std::vector<HomeMessage> RunOnce::TakeHomeMessages()
{
  return std::exchange(mHomeMessages, {});
}

std::uint64_t RunOnce::Count(RunOnceReason aReason) const
{
  return mCounts[static_cast<std::size_t>(aReason)];
}

void RunOnce::Request(RequestToken aRequest, const std::string& aKey,
                      Time aDeadline, Time aNow)
{
  if (aKey.empty() || aKey.size() > mOptions.mMaxKeyBytes) {
    AnswerNotRun(aRequest, RunOnceReason::BadKey, aNow);
    return;
  }
  auto it = mKeys.find(aKey);
  if (it != mKeys.end()) {
    JoinKey(it->second, { aRequest, aDeadline, WriterOf(aKey).CallsStarted() },
            aNow);
    return;
  }
  if (mKeys.size() >= mOptions.mMaxKeys) {
    AnswerNotRun(aRequest, RunOnceReason::TooManyKeys, aNow);
    return;
  }
  OpenKey(aRequest, aKey, aDeadline, aNow);
  StartDueCalls(aNow);
}

/** Guards against: during a platform outage each claim waits until its deadline
 * for a grant that can't be committed, and is refused late. A new key is
 * refused at once with a Retry-After, after the peers were queried, since the
 * key may have run before the outage. */
void RunOnce::OpenKey(RequestToken aRequest, const std::string& aKey,
                      Time aDeadline, Time aNow)
{
  KeyState& state = mKeys[aKey];
  state.mWaiters.push_back(
    { aRequest, aDeadline, WriterOf(aKey).CallsStarted() });
  bool homeDown = !IsHome(aKey) && aNow < mHomeDownUntil;
  if (homeDown || (IsHome(aKey) && mGate.Refuses(aNow))) {
    StartQueryingPeers(aKey, state, RunOnceReason::PlatformDown, aNow);
  } else if (IsHome(aKey) && IsPlatformTooSlow(aKey, aDeadline, aNow)) {
    StartQueryingPeers(aKey, state, RunOnceReason::PlatformSlow, aNow);
  } else {
    Claim(aKey, state, 0, aNow);
  }
}

void RunOnce::JoinKey(KeyState& aState, const Waiter& aWaiter, Time aNow)
{
  if (aState.mPhase == Phase::Ended) {
    if (aState.mAnswer) {
      mActions.emplace_back(Duplicate{ aWaiter.mRequest, *aState.mAnswer });
    } else {
      AnswerUnknown(aWaiter.mRequest, RunOnceReason::NoAnswerKept);
    }
    return;
  }
  if (aWaiter.mDeadline <= aNow) {
    AnswerUnknown(aWaiter.mRequest, RunOnceReason::StillRunning);
    return;
  }
  if (aState.mWaiters.size() >= mOptions.mMaxWaitersPerKey) {
    AnswerUnknown(aWaiter.mRequest, RunOnceReason::TooManyWaiters);
    return;
  }
  aState.mWaiters.push_back(aWaiter);
}

void RunOnce::Claim(const std::string& aKey, KeyState& aState, Nonce aReplaces,
                    Time aNow)
{
  do {
    aState.mNonce = mRandom();
  } while (aState.mNonce == 0);
  aState.mPhase = Phase::Claiming;
  aState.mSince = aNow;
  Grant grant{ mHost, mIncarnation, aState.mNonce, false, std::nullopt };
  auto latest =
    std::ranges::max_element(aState.mWaiters, {}, &Waiter::mDeadline);
  EnqueueWrite(
    aKey, { ChangeKind::Claim, grant, aReplaces, aNow, latest->mDeadline });
}

void RunOnce::OnOutcome(const ShardOutcome& aOutcome, Time aNow)
{
  auto it = mKeys.find(aOutcome.mKey);
  bool isCurrent = it != mKeys.end() && it->second.mNonce == aOutcome.mNonce;
  if (!isCurrent) {
    return;
  }
  KeyState& state = it->second;
  if (aOutcome.mKind == ChangeKind::Answer) {
    state.mRecorded = true;
    return;
  }
  bool awaited =
    aOutcome.mKind == ChangeKind::Claim && state.mPhase == Phase::Claiming;
  if (!awaited) {
    return;
  }
  switch (aOutcome.mResult) {
    case ChangeResult::Committed:
      PassToNextWaiter(aOutcome.mKey, state, aNow);
      break;
    case ChangeResult::Taken:
      OnClaimTaken(aOutcome.mKey, state, aOutcome.mPresent, aNow);
      break;
    case ChangeResult::Expired:
      AnswerUnknownToAll(state, RunOnceReason::KeyTooOld);
      Drop(aOutcome.mKey);
      break;
    case ChangeResult::Down:
      StartQueryingPeers(aOutcome.mKey, state, RunOnceReason::PlatformDown,
                         aNow);
      break;
    case ChangeResult::Slow:
      StartQueryingPeers(aOutcome.mKey, state, RunOnceReason::PlatformSlow,
                         aNow);
      break;
    default:
      AnswerNotRunToAll(state, RunOnceReason::ShardFull, aNow);
      Drop(aOutcome.mKey);
      break;
  }
}

/** Guards against: a grant's holder is paused, another agent assumes that the
 * grant has expired and runs the key, and the holder resumes and runs it too.
 * A grant is replaced only after its holder confirms that it gave up the nonce,
 * which it never uses afterwards. */
void RunOnce::OnClaimTaken(const std::string& aKey, KeyState& aState,
                           const Grant& aPresent, Time aNow)
{
  aState.mHolder = aPresent;
  if (aPresent.mAnswered) {
    if (aPresent.mAnswer) {
      AnswerAll(aState, *aPresent.mAnswer);
    } else {
      AnswerUnknownToAll(aState, RunOnceReason::NoAnswerKept);
    }
    Drop(aKey);
    return;
  }
  if (!mOptions.mQueryHolder) {
    Claim(aKey, aState, aPresent.mNonce, aNow);
    return;
  }
  if (aPresent.mHost == mHost && aPresent.mIncarnation == mIncarnation) {
    // The grant of an earlier attempt by this process that was given up and
    // committed late. An attempt that may still run would have a KeyState here.
    Claim(aKey, aState, aPresent.mNonce, aNow);
    return;
  }
  if (aPresent.mHost == mHost) {
    AnswerUnknownToAll(aState, RunOnceReason::HolderLost);
    Drop(aKey);
    return;
  }
  aState.mPhase = Phase::QueryingHolder;
  aState.mUnansweredQueries = 0;
  QueryHolder(aKey, aState, aNow);
}

/** Guards against: the holder is stalled between grant and dispatch until its
 * request's deadline (or the retention of grants) has passed; on resuming it
 * would do work that nobody waits for, or run a key twice. The deadline is
 * compared with the clock here, after the stall, and each Granted action has
 * its own nonce. */
bool RunOnce::MayDispatch(const std::string& aKey, Nonce aNonce, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Granted);
  if (state == nullptr) {
    return false;
  }
  bool late = state->mWaiters.front().mDeadline <= aNow;
  if (late && mOptions.mCheckBeforeDispatch) {
    TickGranted(aKey, *state, aNow);
    return false;
  }
  state->mPhase = Phase::Running;
  state->mWaiters.erase(state->mWaiters.begin());
  return true;
}

void RunOnce::OnAnswered(const std::string& aKey, Nonce aNonce,
                         std::string_view aAnswer, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    End(aKey, *state, std::string(aAnswer), aNow);
  }
}

void RunOnce::OnOutcomeUnknown(const std::string& aKey, Nonce aNonce, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    End(aKey, *state, std::nullopt, aNow);
  }
}

void RunOnce::OnRefusedByServer(const std::string& aKey, Nonce aNonce,
                                Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    PassToNextWaiter(aKey, *state, aNow);
    StartDueCalls(aNow);
  }
}

void RunOnce::End(const std::string& aKey, KeyState& aState,
                  std::optional<std::string> aAnswer, Time aNow)
{
  aState.mPhase = Phase::Ended;
  aState.mSince = aNow;
  aState.mAnswer = std::move(aAnswer);
  if (aState.mAnswer) {
    AnswerAll(aState, *aState.mAnswer);
  } else {
    AnswerUnknownToAll(aState, RunOnceReason::NoAnswerKept);
  }
  Grant grant{ mHost, mIncarnation, aState.mNonce, true, aState.mAnswer };
  if (grant.mAnswer && grant.mAnswer->size() > mOptions.mMaxAnswerBytes) {
    grant.mAnswer.reset();
  }
  EnqueueWrite(aKey,
               { ChangeKind::Answer, grant, 0, aNow + mOptions.mAnswerLinger });
}

void RunOnce::PassToNextWaiter(const std::string& aKey, KeyState& aState,
                               Time aNow)
{
  DropExpiredWaiters(aState, false, aNow);
  if (aState.mWaiters.empty()) {
    Withdraw(aKey, aState, aNow);
    Drop(aKey);
    return;
  }
  if (aState.mPhase != Phase::Claiming) {
    // The nonce was handed out already; a late dispatch under it must fail.
    Claim(aKey, aState, aState.mNonce, aNow);
    return;
  }
  aState.mPhase = Phase::Granted;
  const Waiter& first = aState.mWaiters.front();
  mActions.emplace_back(
    Granted{ first.mRequest, aKey, aState.mNonce, first.mDeadline });
}

/** Guards against: a grant that was given up is committed late, and the key's
 * outcome stays unknown for ever. The writer removes the grant once no write
 * in flight can commit it any more. */
void RunOnce::Withdraw(const std::string& aKey, const KeyState& aState,
                       Time aNow)
{
  Grant grant{ mHost, mIncarnation, aState.mNonce, false, std::nullopt };
  Time due = aNow + mOptions.mAnswerLinger;
  if (!IsHome(aKey)) {
    EnqueueWrite(aKey, { ChangeKind::Withdraw, grant, 0, due });
  }
  WriterOf(aKey).GiveUp(aKey, grant, due);
}

void RunOnce::Cancel(RequestToken aRequest, const std::string& aKey, Time aNow)
{
  auto it = mKeys.find(aKey);
  if (it == mKeys.end()) {
    return;
  }
  KeyState& state = it->second;
  auto waiter = std::ranges::find(state.mWaiters, aRequest, &Waiter::mRequest);
  if (waiter == state.mWaiters.end()) {
    return;
  }
  bool wasFirst = waiter == state.mWaiters.begin();
  state.mWaiters.erase(waiter);
  bool mayRun =
    state.mPhase != Phase::Claiming && state.mPhase != Phase::Granted;
  if (mayRun) {
    AnswerUnknown(aRequest, RunOnceReason::StillRunning);
  } else {
    AnswerNotRun(aRequest, RunOnceReason::Cancelled, aNow);
  }
  if (state.mPhase == Phase::Granted && wasFirst) {
    PassToNextWaiter(aKey, state, aNow);
  } else if (state.mWaiters.empty() && state.mPhase != Phase::Running) {
    Withdraw(aKey, state, aNow);
    Drop(aKey);
  }
}

} // namespace heatherplank
