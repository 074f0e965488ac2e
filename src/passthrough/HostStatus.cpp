#include "src/passthrough/HostStatus.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

/** Maximum number of earlier ids that are remembered. A host is replaced a few
 * times a day, and late announcements are seconds old. */
constexpr std::size_t kMaxEarlierIds = 64;
/** A host without an announcement for this part of the interval has missed
 * one. */
constexpr int kSilentPercent = 125;

} // namespace

std::string_view ToString(AnnouncementEffect aEffect)
{
  switch (aEffect) {
    case AnnouncementEffect::Stale:
      return "stale";
    case AnnouncementEffect::Unconfirmed:
      return "unconfirmed";
    case AnnouncementEffect::Refreshed:
      return "refreshed";
    case AnnouncementEffect::Changed:
      return "changed";
    case AnnouncementEffect::NewIncarnation:
      return "new_incarnation";
  }
  return "unknown";
}

HostStatus::HostStatus(const Options& aOptions, Time aNow)
  : mOptions(aOptions)
  , mAgentStartedAt(aNow)
{
}

AnnouncementEffect HostStatus::OnAnnouncement(
  const HostAnnouncement& aAnnouncement, Time aNow)
{
  if (aAnnouncement.mPhase == HostPhase::Gone) {
    return OnGone(aAnnouncement);
  }
  if (!mSeries) {
    mSeries.emplace(aAnnouncement, mOptions.mAnnouncementInterval, aNow);
    SetState(aAnnouncement, aNow);
    return AnnouncementEffect::Changed;
  }
  bool isCurrent = mSeries->IsOf(aAnnouncement);
  if (!isCurrent || mPhase == HostPhase::Gone) {
    return OnOther(aAnnouncement, aNow);
  }
  if (mSeries->IsLate(aAnnouncement) && !aAnnouncement.mStartedAt) {
    // With a start time, a host that started again would be told by it.
    return OnOther(aAnnouncement, aNow);
  }
  bool isInOrder = !mSeries->IsLate(aAnnouncement) &&
                   (!mOptions.mGuards.mCheckNumber ||
                    !mSeries->IsTooFarAhead(aAnnouncement, aNow));
  if (!isInOrder) {
    return OnOutOfOrder(aAnnouncement, aNow);
  }
  mSeries->Add(aAnnouncement, aNow);
  mChallenger.reset();
  bool hasChanged =
    mPhase != aAnnouncement.mPhase || mSlots != aAnnouncement.mSlots;
  SetState(aAnnouncement, aNow);
  return hasChanged ? AnnouncementEffect::Changed
                    : AnnouncementEffect::Refreshed;
}

/** Guards against: a late Gone announcement of an earlier incarnation with the
 * same id ends a living host's state, and its flows are denied. Hosts that send
 * their start time may leave it out of Gone: such a one counts only after the
 * host has said that it drains, and is no proof. */
AnnouncementEffect HostStatus::OnGone(const HostAnnouncement& aAnnouncement)
{
  bool isOfCurrent = mSeries && mSeries->IsOf(aAnnouncement);
  bool hasItsId = mSeries && mSeries->Id() == aAnnouncement.mId;
  bool mayBeOfCurrent =
    hasItsId && LacksStartTime(aAnnouncement) && mPhase != HostPhase::Ready;
  if (!mOptions.mGuards.mCheckGoneIncarnation) {
    isOfCurrent = hasItsId;
  }
  if (!isOfCurrent && !mayBeOfCurrent) {
    return AnnouncementEffect::Stale;
  }
  // A delayed incarnation that was heard once may be taken for the current one.
  mHasEnded = mHasEnded || (isOfCurrent && mSeries->IsContinued());
  bool isNew = std::exchange(mPhase, HostPhase::Gone) != HostPhase::Gone;
  return isNew ? AnnouncementEffect::Changed : AnnouncementEffect::Refreshed;
}

/** Handles an announcement of the current incarnation whose number is not above
 * the last one heard, or too far above it.
 *
 * Guards against: another writer sends one announcement with the host's id and
 * start time, and a number that the host will never reach. The agent would be
 * deaf to its host for good. Only a living host goes on, so numbers count once
 * they have gone on while none came in order. */
AnnouncementEffect HostStatus::OnOutOfOrder(
  const HostAnnouncement& aAnnouncement, Time aNow)
{
  if (!mOptions.mGuards.mCheckNumber) {
    return AnnouncementEffect::Stale;
  }
  AddToChallenger(aAnnouncement, aNow);
  if (!mChallenger->mSeries.IsContinued() || !IsSilent(aNow)) {
    return AnnouncementEffect::Stale;
  }
  mSeries->ContinueWith(mChallenger->mSeries);
  mChallenger.reset();
  SetState(aAnnouncement, aNow);
  return AnnouncementEffect::Changed;
}

/** Handles an announcement of another incarnation than the current one, or of
 * one that ended by its own word. */
AnnouncementEffect HostStatus::OnOther(const HostAnnouncement& aAnnouncement,
                                       Time aNow)
{
  if (mOptions.mGuards.mRequireStartTime && LacksStartTime(aAnnouncement)) {
    return AnnouncementEffect::Stale;
  }
  if (IsSuccessor(aAnnouncement, aNow)) {
    BeginIncarnation({ aAnnouncement, mOptions.mAnnouncementInterval, aNow });
    SetState(aAnnouncement, aNow);
    return AnnouncementEffect::NewIncarnation;
  }
  bool isEnded = IsOfEnded(aAnnouncement);
  if (isEnded && !mOptions.mGuards.mHearContinuedHosts) {
    return AnnouncementEffect::Stale;
  }
  AddToChallenger(aAnnouncement, aNow);
  if (!mChallenger->mSeries.IsContinued() || !IsSilent(aNow)) {
    return isEnded ? AnnouncementEffect::Stale
                   : AnnouncementEffect::Unconfirmed;
  }
  BeginIncarnation(mChallenger->mSeries);
  SetState(aAnnouncement, aNow);
  return AnnouncementEffect::NewIncarnation;
}

/** Guards against: another writer's announcement has no start time, although
 * the host sends it always. It names no host. */
bool HostStatus::LacksStartTime(const HostAnnouncement& aAnnouncement) const
{
  return mSeries->StartedAt() && !aAnnouncement.mStartedAt;
}

/** Whether the announcement seems to be of an incarnation that ended. */
bool HostStatus::IsOfEnded(const HostAnnouncement& aAnnouncement) const
{
  if (mSeries->IsOf(aAnnouncement)) {
    return true;
  }
  return StartedEarlier(aAnnouncement) ||
         (!aAnnouncement.mStartedAt &&
          std::ranges::count(mEarlierIds, aAnnouncement.mId) > 0);
}

/** By the start times of both, which a step of the clock may have swapped. */
bool HostStatus::StartedEarlier(const HostAnnouncement& aAnnouncement) const
{
  return aAnnouncement.mStartedAt && mSeries->StartedAt() &&
         *aAnnouncement.mStartedAt < *mSeries->StartedAt();
}

/** Whether the announcement shows that its incarnation replaced the current
 * one: that one went on, but is silent now, and this one can have begun since
 * then.
 *
 * Guards against: an announcement delayed by a network partition arrives after
 * another host replaced its sender. It would restore a dead host's state, and
 * the living host's announcements would count as late ones. */
bool HostStatus::IsSuccessor(const HostAnnouncement& aAnnouncement,
                             Time aNow) const
{
  if (IsOfEnded(aAnnouncement)) {
    return false;
  }
  bool isFirstStartTime = aAnnouncement.mStartedAt && !mSeries->StartedAt();
  if (!mOptions.mGuards.mConfirmSuccessor || isFirstStartTime ||
      !mSeries->IsContinued() || mHasEnded) {
    return true;
  }
  return IsSilent(aNow) &&
         AnnouncementSeries::CanHaveBegunAfter(
           aAnnouncement.mSequence.value_or(0), mOptions.mAnnouncementInterval,
           mSeries->LastAt(), aNow);
}

/** Whether the current incarnation ended or has missed an announcement. */
bool HostStatus::IsSilent(Time aNow) const
{
  return mHasEnded || aNow - mSeries->LastAt() >=
                        mOptions.mAnnouncementInterval * kSilentPercent / 100;
}

void HostStatus::AddToChallenger(const HostAnnouncement& aAnnouncement,
                                 Time aNow)
{
  if (!mChallenger || !mChallenger->mSeries.IsOf(aAnnouncement)) {
    mChallenger.emplace(Challenger{
      { aAnnouncement, mOptions.mAnnouncementInterval, aNow }, false, {} });
  } else if (mChallenger->mSeries.IsLate(aAnnouncement)) {
    return;
  } else {
    mChallenger->mSeries.Add(aAnnouncement, aNow);
  }
  bool mayLive = !StartedEarlier(aAnnouncement);
  mChallenger->mMayDrain =
    mayLive && aAnnouncement.mPhase == HostPhase::Draining;
  mChallenger->mColdUntil =
    mayLive ? aNow + aAnnouncement.mColdRemaining : Time{};
}

void HostStatus::BeginIncarnation(const AnnouncementSeries& aSeries)
{
  if (mSeries->Id() != aSeries.Id()) {
    std::erase(mEarlierIds, aSeries.Id());
    mEarlierIds.push_back(mSeries->Id());
    if (mEarlierIds.size() > kMaxEarlierIds) {
      mEarlierIds.pop_front();
    }
  }
  mHadOtherIncarnation = true;
  // The series may be that of the challenger.
  AnnouncementSeries series = aSeries;
  mChallenger.reset();
  mSeries.emplace(series);
}

void HostStatus::SetState(const HostAnnouncement& aAnnouncement, Time aNow)
{
  mHasEnded = false;
  mPhase = aAnnouncement.mPhase;
  mSlots = aAnnouncement.mSlots;
  mColdUntil = aNow + aAnnouncement.mColdRemaining;
}

/** Guards against: an agent that started under a running host hears a delayed
 * announcement of an earlier incarnation first. If the next one counted as the
 * start of its host, the host's open flows would be denied and reset. */
bool HostStatus::IsObservedFromStart() const
{
  if (!mOptions.mGuards.mObserveOnlyLaterStarts) {
    return mHadOtherIncarnation || (mSeries && !mSeries->HasMissed());
  }
  return mSeries && mSeries->BeganAfter(mAgentStartedAt);
}

bool HostStatus::IsResponsive(Time aNow) const
{
  return mSeries && aNow - mSeries->LastAt() < mOptions.mAnnouncementTimeout;
}

std::optional<Duration> HostStatus::TimeSinceFirstAnnouncement(Time aNow) const
{
  return mSeries ? mSeries->TimeSinceFirst(aNow) : std::nullopt;
}

std::optional<Duration> HostStatus::TimeSinceRepeatedAnnouncement(
  Time aNow) const
{
  auto longest = TimeSinceFirstAnnouncement(aNow);
  return longest && mSeries->HasMissed()
           ? *longest - mOptions.mAnnouncementInterval
           : longest;
}

bool HostStatus::IsCold(Time aNow) const
{
  bool mayBeCold = mOptions.mGuards.mHeedColdSuccessor && mChallenger &&
                   aNow < mChallenger->mColdUntil;
  return aNow < mColdUntil || mayBeCold;
}

bool HostStatus::TakesNewFlows(Time aNow) const
{
  // Of two incarnations heard once each, either may be the living one.
  bool mayDrain =
    mChallenger && !mSeries->IsContinued() && mChallenger->mMayDrain;
  return IsResponsive(aNow) && mPhase == HostPhase::Ready && !mayDrain;
}

std::string HostStatus::Id() const
{
  return mSeries ? mSeries->Id() : std::string();
}

std::uint64_t HostStatus::Sequence() const
{
  return mSeries ? mSeries->LastNumber() : 0;
}

Time HostStatus::LastAnnouncementAt() const
{
  return mSeries ? mSeries->LastAt() : Time{};
}

} // namespace heatherplank
