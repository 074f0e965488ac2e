#include "src/agent/MemberFeed.h"

#include <utility>

#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/process/MessageSender.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

/** Five heartbeats fit into the time after which an unresponsive host is
 * suspected. The reply to the second to last still keeps the view trusted. */
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(300);

} // namespace

/** Accepts members of the agent's service only. Balancers send no others, so
 * any other member is an error and is dropped. */
struct MemberFeed::ServiceCheck final : public InventoryCheck
{
  explicit ServiceCheck(ServiceId aService)
    : mService(aService)
  {
  }

  bool Allows(const Member& aMember) const override
  {
    return aMember.mService == mService;
  }

  ServiceId mService;
};

AgentMembershipOptions MemberFeed::DefaultOptions(std::vector<Address> aSeeds)
{
  AgentMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  options.mHeartbeatInterval = kHeartbeatInterval;
  return options;
}

MemberFeed::MemberFeed(Parts aParts, const Member& aSelf,
                       const AgentMembershipOptions& aOptions)
  : mParts(std::move(aParts))
  , mServiceCheck(std::make_unique<ServiceCheck>(aSelf.mService))
  , mMembership(aSelf, *mServiceCheck, aOptions,
                MixHash(aSelf.mHost.mValue, aSelf.mIncarnation),
                mParts.mClock.Now())
{
}

MemberFeed::~MemberFeed() = default;

void MemberFeed::Announce()
{
  {
    std::lock_guard lock(mLock);
    if (mAnnounced) {
      return;
    }
    mAnnounced = true;
  }
  SetState(HostState::Serving);
}

void MemberFeed::SetState(HostState aState)
{
  {
    std::lock_guard lock(mLock);
    if (aState <= mMembership.Self().mState) {
      return;
    }
    mMembership.SetState(aState, mParts.mClock.Now());
  }
  LogEvent(LogLevel::Info, "host_state", { { "state", ToString(aState) } });
  Flush();
}

void MemberFeed::BeginIncarnation(HostState aState)
{
  {
    std::lock_guard lock(mLock);
    Time now = mParts.mClock.Now();
    mMembership.Restart(mMembership.Self().mIncarnation + 1, now);
    mMembership.SetState(aState, now);
    mAnnounced = true;
  }
  LogEvent(LogLevel::Info, "host_life", { { "state", ToString(aState) } });
  Flush();
}

void MemberFeed::SetSlots(std::uint16_t aSlots)
{
  std::lock_guard lock(mLock);
  if (mMembership.Self().mSlots != aSlots) {
    mMembership.SetSlots(aSlots, mParts.mClock.Now());
  }
}

void MemberFeed::SetSeeds(std::vector<Address> aSeeds)
{
  {
    std::lock_guard lock(mLock);
    mMembership.SetSeeds(std::move(aSeeds), mParts.mClock.Now());
  }
  Flush();
}

void MemberFeed::OnFrame(const Frame& aFrame)
{
  auto message = DecodeMembership(aFrame);
  if (!message) {
    mParts.mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"")
      .Add();
    return;
  }
  {
    std::lock_guard lock(mLock);
    mMembership.OnMessage(*message, mParts.mClock.Now());
  }
  Flush();
}

void MemberFeed::Tick()
{
  {
    std::lock_guard lock(mLock);
    if (!mAnnounced) {
      return;
    }
    mMembership.OnTick(mParts.mClock.Now());
  }
  Flush();
}

void MemberFeed::Flush()
{
  std::vector<SendMembership> actions;
  ServiceViewPtr view;
  Time confirmedAt;
  {
    std::lock_guard lock(mLock);
    actions = mMembership.TakeActions();
  }
  if (mParts.mOnView) {
    std::lock_guard lock(mLock);
    MemberViewPtr current = mMembership.Peers();
    bool changed = !mMemberView || mMemberView->mVersion != current->mVersion;
    if (changed) {
      mMemberView = current;
      mView = MakeServiceView(mMembership.Self().mService, current->mVersion,
                              current->mMembers);
    }
    confirmedAt = mMembership.ConfirmedAt();
    bool confirmed = confirmedAt > mConfirmedAt;
    mConfirmedAt = confirmedAt;
    // Before the first reply the view holds only this host, unconfirmed.
    if (confirmedAt != Time{} && (changed || confirmed)) {
      view = mView;
    }
  }
  for (const auto& it : actions) {
    auto encoded = EncodeMembership(it.mMessage);
    mParts.mLinks.Send(it.mTo, encoded.mKind, encoded.mPayload);
  }
  if (view) {
    mParts.mOnView(std::move(view), confirmedAt);
  }
}

Time MemberFeed::ConfirmedAt() const
{
  std::lock_guard lock(mLock);
  return mMembership.ConfirmedAt();
}

bool MemberFeed::IsInView() const
{
  std::lock_guard lock(mLock);
  return mConfirmedAt != Time{} &&
         mView->Find(mMembership.Self().mHost) != nullptr;
}

std::vector<Member> MemberFeed::Balancers() const
{
  std::lock_guard lock(mLock);
  return mMembership.Balancers()->mMembers;
}

std::vector<Member> MemberFeed::KnownBalancers() const
{
  std::lock_guard lock(mLock);
  return mMembership.KnownBalancers();
}

} // namespace heatherplank
