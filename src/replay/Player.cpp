#include "src/replay/Player.h"

#include <algorithm>
#include <chrono>

namespace heatherplank::replay {

namespace {

using namespace std::chrono_literals;

constexpr Duration kForwardDelay = 1ms;
constexpr Duration kFastFailureTime = 1ms;
constexpr Duration kImmediateReturnDelay = 50ms;
constexpr Duration kPlatformRetryAfter = 1s;

} // namespace

Result<std::unique_ptr<Player>> Player::Make(const PlayerOptions& aOptions)
{
  if (aOptions.mService.mHosts.empty()) {
    return Fail(ErrorKind::InvalidInput, "the fleet has no hosts",
                "configure at least one host");
  }
  std::unique_ptr<Player> made(new Player(aOptions));
  for (const auto& it : aOptions.mService.mHosts) {
    if (auto error = made->AddHost(it.mName)) {
      return tl::unexpected(*error);
    }
  }
  if (auto error = made->AddHealthTracking()) {
    return tl::unexpected(*error);
  }
  made->ResetTally();
  made->ExchangeLoads();
  made->RecordImbalance();
  return made;
}

std::optional<Error> Player::AddHost(const std::string& aName)
{
  auto host = std::make_unique<Host>();
  host->mId = MakeHostId(aName);
  host->mName = aName;
  auto options = mAdmission;
  options.mSeed = MixHash(mOptions.mSeed, host->mId.mValue);
  auto admission = MakeAdmissionPolicy(mOptions.mAdmission, options);
  if (!admission) {
    return admission.error();
  }
  auto balancing = MakeBalancingPolicy(mOptions.mBalancing, options.mSeed);
  if (!balancing) {
    return balancing.error();
  }
  host->mAdmission = std::move(*admission);
  host->mBalancing = std::move(*balancing);
  mHosts.push_back(std::move(host));
  return std::nullopt;
}

std::optional<Error> Player::AddHealthTracking()
{
  if (mOptions.mSlowStart != "off") {
    auto start = MakeSlowStart(mOptions.mSlowStart);
    if (!start) {
      return start.error();
    }
    mSlowStart = std::move(*start);
  }
  if (mOptions.mOutlier == "off") {
    return std::nullopt;
  }
  auto detector = MakeOutlierDetector(mOptions.mOutlier);
  if (!detector) {
    return detector.error();
  }
  mOutlier = std::move(*detector);
  for (const auto& it : mHosts) {
    mOutlier->Add(it->mId);
  }
  return std::nullopt;
}

Player::Player(const PlayerOptions& aOptions)
  : mOptions(aOptions)
  , mAdmission(MakeAdmissionOptions(aOptions.mService, aOptions.mSeed))
  , mStart(Time{} + 1h)
  , mNow(mStart)
  , mRetries(aOptions.mRetryBudget)
  , mPlatformReturns(aOptions.mSeed, aOptions.mGuards.mSpreadRetryTimes)
  , mLoadsExchangedAt(mStart)
{
  mAdmission.mOrder = aOptions.mOrder;
  mAdmission.mGuards = aOptions.mGuards;
}

Player::~Player() = default;

void Player::At(Duration aTime, std::function<void()> aCallback)
{
  ++mScheduledCount;
  auto callback = [this, aCallback = std::move(aCallback)] {
    --mScheduledCount;
    aCallback();
  };
  mEvents.push({ mStart + aTime, ++mLastSequence, std::move(callback) });
}

void Player::ScheduleAfter(Duration aDelay, std::function<void()> aCallback)
{
  mEvents.push({ mNow + aDelay, ++mLastSequence, std::move(aCallback) });
}

void Player::Arrive(const Arrival& aArrival)
{
  RequestState state;
  state.mArrival = aArrival;
  ClassTally& tally = TallyFor(state);
  ++tally.mOffered;
  tally.mWantedWork += aArrival.mTakes;
  mTally.mLastArrival = Now();
  ++mRequestsInProgress;
  mRetries.OnFirstAttempt();
  SendAttempt(state);
}

// Sends the request once; a returning caller sends it again after a refusal.
void Player::SendAttempt(RequestState aState)
{
  const Duration classDefault =
    mAdmission.mClasses[aState.mArrival.mClass].mDeadline;
  const Duration requested = aState.mArrival.mDeadline;
  aState.mSentAt = mNow;
  aState.mDeadline = mNow + (requested > Duration{} ? requested : classDefault);
  aState.mHops = 0;
  ++TallyFor(aState).mAttempts;
  const RequestId id = ++mLastSequence;
  mRequests.emplace(id, aState);
  if (IsNeverRepeated(aState) && !mPlatformUp) {
    const Duration wait =
      mPlatformReturns.NextWait(mNow, kPlatformRetryAfter, 1ms);
    OnRefused(id, RefusalReason::PlatformDown, wait);
    return;
  }
  Deliver(OwnerOf(aState.mArrival.mFlow), id);
}

void Player::Deliver(std::size_t aHost, RequestId aId)
{
  Actions actions;
  const Request request = MakeRequest(aId, mRequests.at(aId));
  mHosts[aHost]->mAdmission->OnRequest(request, mNow, actions);
  ExecuteActions(aHost, actions);
}

Request Player::MakeRequest(RequestId aId, const RequestState& aState) const
{
  Request request;
  request.mId = aId;
  request.mClass = aState.mArrival.mClass;
  request.mHops = aState.mHops;
  request.mSize = aState.mArrival.mSize;
  request.mCaller = aState.mArrival.mCaller;
  request.mArrival = aState.mSentAt;
  request.mDeadline = aState.mDeadline;
  return request;
}

void Player::ExecuteActions(std::size_t aHost, const Actions& aActions)
{
  for (const auto& it : aActions) {
    Execute(aHost, it);
  }
  ScheduleWakeUp(aHost);
}

void Player::Execute(std::size_t aHost, const Action& aAction)
{
  const RequestId id = aAction.mId;
  switch (aAction.mKind) {
    case ActionKind::Dispatch:
      Dispatch(aHost, id);
      break;
    case ActionKind::Refuse:
    case ActionKind::Expire:
      OnRefused(id, aAction.mReason, aAction.mRetryAfter);
      break;
    case ActionKind::Forward: {
      RequestState& state = mRequests.at(id);
      ++state.mHops;
      ++TallyFor(state).mForwarded;
      const std::size_t target = IndexOf(aAction.mTarget);
      ScheduleAfter(kForwardDelay, [this, target, id] { Deliver(target, id); });
      break;
    }
  }
}

void Player::Dispatch(std::size_t aHost, RequestId aId)
{
  RequestState& state = mRequests.at(aId);
  const Host& host = *mHosts[aHost];
  const auto end = [this, aHost, aId](RunResult aResult, Duration aDuration) {
    ScheduleAfter(aDuration,
                  [=, this] { OnRunEnd(aHost, aId, aResult, aDuration); });
  };
  const Duration remaining = state.mDeadline - mNow;
  if (remaining <= Duration{}) {
    // The backend server does not run a request whose deadline has passed.
    end(RunResult::TimedOut, Duration{});
    return;
  }
  if (host.mBehaviour.mDown) {
    end(RunResult::Unreachable, Duration{});
    return;
  }
  if (host.mBehaviour.mSheds) {
    end(RunResult::Shed, kFastFailureTime);
    return;
  }
  if (host.mBehaviour.mFails) {
    end(RunResult::Failed, kFastFailureTime);
    return;
  }
  TallyFor(state).mRunTwice += state.mMayHaveRun ? 1 : 0;
  state.mMayHaveRun = true;
  const auto duration = std::chrono::duration_cast<Duration>(
    state.mArrival.mTakes * host.SlownessFactor());
  const bool inTime = duration <= remaining;
  end(inTime ? RunResult::Answered : RunResult::TimedOut,
      std::min(duration, remaining));
}

void Player::OnRunEnd(std::size_t aHost, RequestId aId, RunResult aResult,
                      Duration aDuration)
{
  Host& host = *mHosts[aHost];
  mTally.mHosts[host.mName].mBusy += aDuration;
  host.mBusy += aDuration;
  Actions actions;
  host.mAdmission->OnDone(aId, aResult, aDuration, mNow, actions);
  Conclude(aHost, aId, aResult);
  ExecuteActions(aHost, actions);
}

// Records the outcome of a run, or retries the request on another host.
void Player::Conclude(std::size_t aHost, RequestId aId, RunResult aResult)
{
  RequestState& state = mRequests.at(aId);
  ClassTally& tally = TallyFor(state);
  Host& host = *mHosts[aHost];
  switch (aResult) {
    case RunResult::Shed:
      RetryOnOtherHost(aHost, aId, AttemptEnd::Shed);
      return;
    case RunResult::Unreachable:
      RetryOnOtherHost(aHost, aId, AttemptEnd::ConnectFailed);
      return;
    case RunResult::Answered:
      ++tally.mAnswered;
      tally.mAnsweredWork += state.mArrival.mTakes;
      tally.mLatencies.push_back(mNow - state.mSentAt);
      tally.mAnswers.emplace_back(Now(), state.mArrival.mTakes);
      ++mTally.mHosts[host.mName].mAnswered;
      ++host.mAnswersSinceStart;
      if (mSlowStart) {
        mSlowStart->OnAnswer(host.mId);
      }
      break;
    case RunResult::Failed:
      ++tally.mFailed;
      break;
    case RunResult::TimedOut:
    case RunResult::Abandoned:
      ++tally.mLate;
      break;
  }
  mRequests.erase(aId);
  --mRequestsInProgress;
}

void Player::RetryOnOtherHost(std::size_t aHost, RequestId aId, AttemptEnd aEnd)
{
  RequestState& state = mRequests.at(aId);
  const RetryAdvice advice = AdviseRetry(aEnd, IsNeverRepeated(state));
  std::vector<Candidate> others = CandidatesFor(state.mArrival.mFlow);
  std::erase_if(others, [this, aHost](const Candidate& aIt) {
    return aIt.mHost == mHosts[aHost]->mId;
  });
  const bool mayRetry =
    advice.mTarget == RetryTarget::OtherHost && !others.empty();
  if (!mayRetry || !mRetries.TryRetry()) {
    OnRefused(
      aId, mayRetry ? RefusalReason::RetryBudget : RefusalReason::BackendShed,
      mPlatformReturns.NextWait(mNow, 200ms, 1ms));
    return;
  }
  auto& policy = *mHosts[aHost]->mBalancing;
  const auto pick = policy.Pick(state.mArrival.mFlow, others, mNow);
  const std::size_t target = IndexOf(others[pick].mHost);
  ++state.mHops;
  ++TallyFor(state).mRetried;
  ScheduleAfter(kForwardDelay, [this, target, aId] { Deliver(target, aId); });
}

void Player::OnRefused(RequestId aId, RefusalReason aReason,
                       Duration aRetryAfter)
{
  RequestState state = mRequests.at(aId);
  mRequests.erase(aId);
  ClassTally& tally = TallyFor(state);
  ++tally.mRefusedAttempts;
  tally.mRefusalsWithRetryTime += aRetryAfter > Duration{} ? 1 : 0;
  ++tally.mByReason.at(static_cast<std::size_t>(aReason));
  tally.mRefusalWaits.push_back(mNow - state.mSentAt);
  const bool callerReturns = mOptions.mReturning != Returning::Never &&
                             state.mReturns < mOptions.mMostReturns;
  if (!callerReturns) {
    ++tally.mRefused;
    --mRequestsInProgress;
    return;
  }
  ++state.mReturns;
  const bool usesRetryAfter = mOptions.mReturning == Returning::AsTold;
  ScheduleAfter(usesRetryAfter ? aRetryAfter : kImmediateReturnDelay,
                [this, state] { SendAttempt(state); });
}

bool Player::IsNeverRepeated(const RequestState& aState) const
{
  const auto& rules = mOptions.mService.mRules;
  const std::size_t index = aState.mArrival.mClass;
  return index < rules.size() && rules[index].mNeverRepeat;
}

ClassTally& Player::TallyFor(const RequestState& aState)
{
  std::string name = mAdmission.mClasses[aState.mArrival.mClass].mName;
  if (!aState.mArrival.mGroup.empty()) {
    name += "/" + aState.mArrival.mGroup;
  }
  return mTally.mClasses[name];
}

} // namespace heatherplank::replay
