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
    SayNotRun(aRequest, RunOnceReason::BadKey, aNow);
    return;
  }
  auto it = mKeys.find(aKey);
  if (it != mKeys.end()) {
    Join(it->second, { aRequest, aDeadline, WriterOf(aKey).Started() }, aNow);
    return;
  }
  if (mKeys.size() >= mOptions.mMaxKeys) {
    SayNotRun(aRequest, RunOnceReason::TooManyKeys, aNow);
    return;
  }
  Open(aRequest, aKey, aDeadline, aNow);
  Pump(aNow);
}

/** Failure met: the platform is down, and each claim waits until its deadline
 * for a grant that can't come. Shown as late refusals. A new key is refused at
 * once, with when to come back; what the peers know is asked first, since the
 * key may have run before the outage. */
void RunOnce::Open(RequestToken aRequest, const std::string& aKey,
                   Time aDeadline, Time aNow)
{
  KeyState& state = mKeys[aKey];
  state.mWaiters.push_back({ aRequest, aDeadline, WriterOf(aKey).Started() });
  bool homeDown = !IsHome(aKey) && aNow < mHomeDownUntil;
  if (homeDown || (IsHome(aKey) && mGate.Refuses(aNow))) {
    StartAskingPeers(aKey, state, RunOnceReason::PlatformDown, aNow);
  } else if (IsHome(aKey) && IsTooSlowFor(aKey, aDeadline, aNow)) {
    StartAskingPeers(aKey, state, RunOnceReason::PlatformSlow, aNow);
  } else {
    Claim(aKey, state, 0, aNow);
  }
}

void RunOnce::Join(KeyState& aState, const Waiter& aWaiter, Time aNow)
{
  if (aState.mPhase == Phase::Ended) {
    if (aState.mAnswer) {
      mActions.emplace_back(Duplicate{ aWaiter.mRequest, *aState.mAnswer });
    } else {
      SayUnknown(aWaiter.mRequest, RunOnceReason::NoAnswerKept);
    }
    return;
  }
  if (aWaiter.mDeadline <= aNow) {
    SayUnknown(aWaiter.mRequest, RunOnceReason::StillRunning);
    return;
  }
  if (aState.mWaiters.size() >= mOptions.mMaxWaitersPerKey) {
    SayUnknown(aWaiter.mRequest, RunOnceReason::TooManyWaiters);
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
  auto last = std::ranges::max_element(aState.mWaiters, {}, &Waiter::mDeadline);
  Want(aKey, { ChangeKind::Claim, grant, aReplaces, aNow, last->mDeadline });
}

void RunOnce::OnOutcome(const ShardOutcome& aOutcome, Time aNow)
{
  auto it = mKeys.find(aOutcome.mKey);
  bool ours = it != mKeys.end() && it->second.mNonce == aOutcome.mNonce;
  if (!ours) {
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
      PassOn(aOutcome.mKey, state, aNow);
      break;
    case ChangeResult::Taken:
      OnTaken(aOutcome.mKey, state, aOutcome.mPresent, aNow);
      break;
    case ChangeResult::Faded:
      UnknownToAll(state, RunOnceReason::KeyTooOld);
      Drop(aOutcome.mKey);
      break;
    case ChangeResult::Down:
      StartAskingPeers(aOutcome.mKey, state, RunOnceReason::PlatformDown, aNow);
      break;
    case ChangeResult::Slow:
      StartAskingPeers(aOutcome.mKey, state, RunOnceReason::PlatformSlow, aNow);
      break;
    default:
      NotRunToAll(state, RunOnceReason::ShardFull, aNow);
      Drop(aOutcome.mKey);
      break;
  }
}

/** Failure met: the holder of a grant was paused, another agent takes its
 * grant for lapsed and runs the key, and the holder wakes and runs it too.
 * Shown as a key that ran twice. It holds since a grant is replaced only on
 * its holder's word that it gave up that nonce, which it then never uses. */
void RunOnce::OnTaken(const std::string& aKey, KeyState& aState,
                      const Grant& aPresent, Time aNow)
{
  aState.mHolder = aPresent;
  if (aPresent.mAnswered) {
    if (aPresent.mAnswer) {
      AnswerAll(aState, *aPresent.mAnswer);
    } else {
      UnknownToAll(aState, RunOnceReason::NoAnswerKept);
    }
    Drop(aKey);
    return;
  }
  if (!mOptions.mAskHolder) {
    Claim(aKey, aState, aPresent.mNonce, aNow);
    return;
  }
  if (aPresent.mHost == mHost && aPresent.mIncarnation == mIncarnation) {
    // An earlier attempt of ours, given up, that landed after all: whatever
    // may still run under this key would be open here.
    Claim(aKey, aState, aPresent.mNonce, aNow);
    return;
  }
  if (aPresent.mHost == mHost) {
    UnknownToAll(aState, RunOnceReason::HolderLost);
    Drop(aKey);
    return;
  }
  aState.mPhase = Phase::Asking;
  aState.mUnanswered = 0;
  Ask(aKey, aState, aNow);
}

/** Failure met: the holder sleeps between grant and dispatch, past its
 * request's deadline (or past the retention of grants), and wakes. Shown as
 * work that is done for nobody, or a key that ran twice. It holds since the
 * clock is looked at here, after the sleep, and since each Granted has a nonce
 * of its own. */
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

void RunOnce::Answered(const std::string& aKey, Nonce aNonce,
                       std::string_view aAnswer, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    End(aKey, *state, std::string(aAnswer), aNow);
  }
}

void RunOnce::LostSight(const std::string& aKey, Nonce aNonce, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    End(aKey, *state, std::nullopt, aNow);
  }
}

void RunOnce::RefusedByServer(const std::string& aKey, Nonce aNonce, Time aNow)
{
  KeyState* state = FindAttempt(aKey, aNonce, Phase::Running);
  if (state != nullptr) {
    PassOn(aKey, *state, aNow);
    Pump(aNow);
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
    UnknownToAll(aState, RunOnceReason::NoAnswerKept);
  }
  Grant grant{ mHost, mIncarnation, aState.mNonce, true, aState.mAnswer };
  if (grant.mAnswer && grant.mAnswer->size() > mOptions.mMaxAnswerBytes) {
    grant.mAnswer.reset();
  }
  Want(aKey, { ChangeKind::Answer, grant, 0, aNow + mOptions.mAnswerLinger });
}

void RunOnce::PassOn(const std::string& aKey, KeyState& aState, Time aNow)
{
  DropLateWaiters(aState, false, aNow);
  if (aState.mWaiters.empty()) {
    Withdraw(aKey, aState, aNow);
    Drop(aKey);
    return;
  }
  if (aState.mPhase != Phase::Claiming) {
    // Handed out before: a late dispatch under the old nonce must fail.
    Claim(aKey, aState, aState.mNonce, aNow);
    return;
  }
  aState.mPhase = Phase::Granted;
  const Waiter& first = aState.mWaiters.front();
  mActions.emplace_back(
    Granted{ first.mRequest, aKey, aState.mNonce, first.mDeadline });
}

/** Failure met: a grant that was given up lands in the platform later, and the
 * key is refused for ever. Shown as keys that stay "outcome unknown". The
 * writer takes it out again once it can no longer land. */
void RunOnce::Withdraw(const std::string& aKey, const KeyState& aState,
                       Time aNow)
{
  Grant grant{ mHost, mIncarnation, aState.mNonce, false, std::nullopt };
  Time due = aNow + mOptions.mAnswerLinger;
  if (!IsHome(aKey)) {
    Want(aKey, { ChangeKind::Withdraw, grant, 0, due });
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
    SayUnknown(aRequest, RunOnceReason::StillRunning);
  } else {
    SayNotRun(aRequest, RunOnceReason::Cancelled, aNow);
  }
  if (state.mPhase == Phase::Granted && wasFirst) {
    PassOn(aKey, state, aNow);
  } else if (state.mWaiters.empty() && state.mPhase != Phase::Running) {
    Withdraw(aKey, state, aNow);
    Drop(aKey);
  }
}

} // namespace heatherplank
