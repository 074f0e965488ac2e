#include "src/replay/Player.h"

#include <algorithm>
#include <chrono>

namespace heatherplank::replay {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMove = 1ms;
constexpr Duration kQuickEnd = 1ms;
constexpr Duration kImpatience = 50ms;
constexpr Duration kPlatformRetry = 1s;

} // namespace

Result<std::unique_ptr<Player>> Player::Make(const PlayerOptions& aOptions)
{
  if (aOptions.mService.mHosts.empty()) {
    return Fail(ErrorKind::InvalidInput, "a fleet without hosts",
                "give it one host at least");
  }
  std::unique_ptr<Player> made(new Player(aOptions));
  for (const auto& it : aOptions.mService.mHosts) {
    if (auto error = made->AddHost(it.mName)) {
      return tl::unexpected(*error);
    }
  }
  if (auto error = made->AddGuards()) {
    return tl::unexpected(*error);
  }
  made->ResetTally();
  made->Exchange();
  made->NoteImbalance();
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

std::optional<Error> Player::AddGuards()
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
  , mExchangedAt(mStart)
{
  mAdmission.mOrder = aOptions.mOrder;
  mAdmission.mGuards = aOptions.mGuards;
}

Player::~Player() = default;

void Player::At(Duration aTime, std::function<void()> aWhat)
{
  ++mPlanned;
  auto what = [this, aWhat = std::move(aWhat)] {
    --mPlanned;
    aWhat();
  };
  mEvents.push({ mStart + aTime, ++mLast, std::move(what) });
}

void Player::After(Duration aWait, std::function<void()> aWhat)
{
  mEvents.push({ mNow + aWait, ++mLast, std::move(aWhat) });
}

void Player::Arrive(const Arrival& aArrival)
{
  Ongoing ongoing;
  ongoing.mArrival = aArrival;
  ClassTally& tally = TallyOf(ongoing);
  ++tally.mOffered;
  tally.mWantedWork += aArrival.mTakes;
  mTally.mLastArrival = Now();
  ++mUnderWay;
  mRetries.OnFirstAttempt();
  Attempt(ongoing);
}

// One time that the caller sends its request.
void Player::Attempt(Ongoing aOngoing)
{
  const Duration own = mAdmission.mClasses[aOngoing.mArrival.mClass].mDeadline;
  const Duration stated = aOngoing.mArrival.mDeadline;
  aOngoing.mSentAt = mNow;
  aOngoing.mDeadline = mNow + (stated > Duration{} ? stated : own);
  aOngoing.mHops = 0;
  ++TallyOf(aOngoing).mAttempts;
  const RequestId id = ++mLast;
  mOngoing.emplace(id, aOngoing);
  if (NeverRepeats(aOngoing) && !mPlatformUp) {
    const Duration wait = mPlatformReturns.NextWait(mNow, kPlatformRetry, 1ms);
    Refused(id, RefusalReason::PlatformDown, wait);
    return;
  }
  Deliver(OwnerOf(aOngoing.mArrival.mFlow), id);
}

void Player::Deliver(std::size_t aHost, RequestId aId)
{
  Actions actions;
  const Request request = RequestOf(aId, mOngoing.at(aId));
  mHosts[aHost]->mAdmission->OnRequest(request, mNow, actions);
  Carry(aHost, actions);
}

Request Player::RequestOf(RequestId aId, const Ongoing& aOngoing) const
{
  Request request;
  request.mId = aId;
  request.mClass = aOngoing.mArrival.mClass;
  request.mHops = aOngoing.mHops;
  request.mSize = aOngoing.mArrival.mSize;
  request.mCaller = aOngoing.mArrival.mCaller;
  request.mArrival = aOngoing.mSentAt;
  request.mDeadline = aOngoing.mDeadline;
  return request;
}

void Player::Carry(std::size_t aHost, const Actions& aActions)
{
  for (const auto& it : aActions) {
    CarryOne(aHost, it);
  }
  WakeLater(aHost);
}

void Player::CarryOne(std::size_t aHost, const Action& aAction)
{
  const RequestId id = aAction.mId;
  switch (aAction.mKind) {
    case ActionKind::Dispatch:
      Dispatch(aHost, id);
      break;
    case ActionKind::Refuse:
    case ActionKind::Expire:
      Refused(id, aAction.mReason, aAction.mRetryAfter);
      break;
    case ActionKind::Forward: {
      Ongoing& ongoing = mOngoing.at(id);
      ++ongoing.mHops;
      ++TallyOf(ongoing).mHandedOn;
      const std::size_t target = IndexOf(aAction.mTarget);
      After(kMove, [this, target, id] { Deliver(target, id); });
      break;
    }
  }
}

void Player::Dispatch(std::size_t aHost, RequestId aId)
{
  Ongoing& ongoing = mOngoing.at(aId);
  const Host& host = *mHosts[aHost];
  const auto end = [this, aHost, aId](RunResult aResult, Duration aTook) {
    After(aTook, [=, this] { End(aHost, aId, aResult, aTook); });
  };
  const Duration left = ongoing.mDeadline - mNow;
  if (left <= Duration{}) {
    // The backend server does not run what is past its deadline.
    end(RunResult::TimedOut, Duration{});
    return;
  }
  if (host.mBehaviour.mDown) {
    end(RunResult::Unreachable, Duration{});
    return;
  }
  if (host.mBehaviour.mSheds) {
    end(RunResult::Shed, kQuickEnd);
    return;
  }
  if (host.mBehaviour.mFails) {
    end(RunResult::Failed, kQuickEnd);
    return;
  }
  TallyOf(ongoing).mRunTwice += ongoing.mMayHaveRun ? 1 : 0;
  ongoing.mMayHaveRun = true;
  const auto took = std::chrono::duration_cast<Duration>(
    ongoing.mArrival.mTakes * host.Slowness());
  const bool inTime = took <= left;
  end(inTime ? RunResult::Answered : RunResult::TimedOut, std::min(took, left));
}

void Player::End(std::size_t aHost, RequestId aId, RunResult aResult,
                 Duration aTook)
{
  Host& host = *mHosts[aHost];
  mTally.mHosts[host.mName].mBusy += aTook;
  host.mBusy += aTook;
  Actions actions;
  host.mAdmission->OnDone(aId, aResult, aTook, mNow, actions);
  Conclude(aHost, aId, aResult);
  Carry(aHost, actions);
}

// What the caller learns from the end of a run.
void Player::Conclude(std::size_t aHost, RequestId aId, RunResult aResult)
{
  Ongoing& ongoing = mOngoing.at(aId);
  ClassTally& tally = TallyOf(ongoing);
  Host& host = *mHosts[aHost];
  switch (aResult) {
    case RunResult::Shed:
      TryElsewhere(aHost, aId, AttemptEnd::Shed);
      return;
    case RunResult::Unreachable:
      TryElsewhere(aHost, aId, AttemptEnd::ConnectFailed);
      return;
    case RunResult::Answered:
      ++tally.mAnswered;
      tally.mAnsweredWork += ongoing.mArrival.mTakes;
      tally.mLatencies.push_back(mNow - ongoing.mSentAt);
      tally.mAnswers.emplace_back(Now(), ongoing.mArrival.mTakes);
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
  mOngoing.erase(aId);
  --mUnderWay;
}

void Player::TryElsewhere(std::size_t aHost, RequestId aId, AttemptEnd aEnd)
{
  Ongoing& ongoing = mOngoing.at(aId);
  const RetryAdvice advice = AdviseRetry(aEnd, NeverRepeats(ongoing));
  std::vector<Candidate> others = CandidatesOf(ongoing.mArrival.mFlow);
  std::erase_if(others, [this, aHost](const Candidate& aIt) {
    return aIt.mHost == mHosts[aHost]->mId;
  });
  const bool mayRetry =
    advice.mTarget == RetryTarget::OtherHost && !others.empty();
  if (!mayRetry || !mRetries.TryRetry()) {
    Refused(aId,
            mayRetry ? RefusalReason::RetryBudget : RefusalReason::BackendShed,
            mPlatformReturns.NextWait(mNow, 200ms, 1ms));
    return;
  }
  auto& policy = *mHosts[aHost]->mBalancing;
  const auto pick = policy.Pick(ongoing.mArrival.mFlow, others, mNow);
  const std::size_t target = IndexOf(others[pick].mHost);
  ++ongoing.mHops;
  ++TallyOf(ongoing).mRetried;
  After(kMove, [this, target, aId] { Deliver(target, aId); });
}

void Player::Refused(RequestId aId, RefusalReason aReason, Duration aRetryAfter)
{
  Ongoing ongoing = mOngoing.at(aId);
  mOngoing.erase(aId);
  ClassTally& tally = TallyOf(ongoing);
  ++tally.mRefusedAttempts;
  tally.mTold += aRetryAfter > Duration{} ? 1 : 0;
  ++tally.mByReason.at(static_cast<std::size_t>(aReason));
  tally.mRefusalWaits.push_back(mNow - ongoing.mSentAt);
  const bool comesBack = mOptions.mReturning != Returning::Never &&
                         ongoing.mReturns < mOptions.mMostReturns;
  if (!comesBack) {
    ++tally.mRefused;
    --mUnderWay;
    return;
  }
  ++ongoing.mReturns;
  const bool asTold = mOptions.mReturning == Returning::AsTold;
  After(asTold ? aRetryAfter : kImpatience,
        [this, ongoing] { Attempt(ongoing); });
}

bool Player::NeverRepeats(const Ongoing& aOngoing) const
{
  const auto& rules = mOptions.mService.mRules;
  const std::size_t rule = aOngoing.mArrival.mClass;
  return rule < rules.size() && rules[rule].mNeverRepeat;
}

ClassTally& Player::TallyOf(const Ongoing& aOngoing)
{
  std::string name = mAdmission.mClasses[aOngoing.mArrival.mClass].mName;
  if (!aOngoing.mArrival.mGroup.empty()) {
    name += "/" + aOngoing.mArrival.mGroup;
  }
  return mTally.mClasses[name];
}

} // namespace heatherplank::replay
