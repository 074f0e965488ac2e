#include "src/agent/MemberFeed.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/ControlClient.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

/** Beats whose sending time is remembered: an answer that comes later than 20
 * s confirms nothing. */
constexpr std::size_t kBeatsRemembered = 64;

MemberTableOptions MakeOptions()
{
  MemberTableOptions options;
  options.mJudgesSilence = false;
  // Slow start is the owner's choice (SlowStarts), not the rank's.
  options.mSlowStart = Duration::zero();
  return options;
}

} // namespace

/** Balancers send an agent members of its own service only; anything else is a
 * mistake and is kept out. */
struct MemberFeed::OwnService final : public InventoryCheck
{
  explicit OwnService(ServiceId aService)
    : mService(aService)
  {
  }

  bool Allows(const Member& aMember) const override
  {
    return aMember.mService == mService;
  }

  ServiceId mService;
};

MemberFeed::MemberFeed(const Clock& aClock, MetricsRegistry& aMetrics,
                       const Member& aSelf, OnView aOnView)
  : mClock(aClock)
  , mMetrics(aMetrics)
  , mOnView(std::move(aOnView))
  , mOwnService(std::make_unique<OwnService>(aSelf.mService))
  , mSelf(aSelf)
  , mTable(MemberTableId::Hosts, *mOwnService, MakeOptions())
  , mStartedAt(aClock.Now())
{
}

MemberFeed::~MemberFeed() = default;

void MemberFeed::SetBalancers(
  std::vector<std::shared_ptr<ControlClient>> aBalancers)
{
  std::lock_guard lock(mLock);
  mBalancers = std::move(aBalancers);
}

void MemberFeed::SetState(HostState aState)
{
  {
    std::lock_guard lock(mLock);
    if (aState <= mSelf.mState) {
      return;
    }
    mSelf.mState = aState;
    LogEvent(LogLevel::Info, "host_state", { { "state", ToString(aState) } });
  }
  Beat();
}

HostState MemberFeed::State() const
{
  std::lock_guard lock(mLock);
  return mSelf.mState;
}

Heartbeat MemberFeed::MakeHeartbeat(Time aNow)
{
  Heartbeat heartbeat;
  heartbeat.mRecord.mMember = mSelf;
  heartbeat.mRecord.mBeat = ++mBeat;
  heartbeat.mRecord.mAge = aNow - mStartedAt;
  heartbeat.mVersion = mTable.Version();
  heartbeat.mServiceDigest = mTable.ServiceDigest(mSelf.mService);
  mSentAt[mBeat] = aNow;
  if (mSentAt.size() > kBeatsRemembered) {
    mSentAt.erase(mSentAt.begin());
  }
  return heartbeat;
}

void MemberFeed::Beat()
{
  std::lock_guard lock(mLock);
  Bytes payload = EncodePayload(MakeHeartbeat(mClock.Now()));
  for (const auto& it : mBalancers) {
    it->Send(MessageKind::Heartbeat, payload);
  }
}

bool MemberFeed::OnFrame(const Frame& aFrame)
{
  if (aFrame.mKind != MessageKind::MemberDelta) {
    return false;
  }
  auto delta = DecodeMemberDelta(aFrame.mPayload);
  if (!delta) {
    mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"").Add();
    return true;
  }
  Time confirmedAt{};
  {
    std::lock_guard lock(mLock);
    mTable.OnDelta(*delta, mClock.Now());
    auto it = mSentAt.find(delta->mAnswersBeat);
    if (it != mSentAt.end()) {
      confirmedAt = it->second;
    }
  }
  Publish(confirmedAt);
  return true;
}

void MemberFeed::Publish(Time aConfirmedAt)
{
  ServiceViewPtr view;
  Time confirmedAt;
  {
    std::lock_guard lock(mLock);
    MemberViewPtr fresh = mTable.View(mSelf.mService);
    if (!mView || mMemberView->mVersion != fresh->mVersion) {
      mMemberView = fresh;
      mView = MakeServiceView(mSelf.mService, fresh->mVersion, fresh->mMembers);
    } else if (aConfirmedAt <= mConfirmedAt) {
      return;
    }
    mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
    view = mView;
    confirmedAt = mConfirmedAt;
  }
  mOnView(std::move(view), confirmedAt);
}

bool MemberFeed::IsInView() const
{
  std::lock_guard lock(mLock);
  return mView && mView->Find(mSelf.mHost) != nullptr;
}

} // namespace heatherplank
