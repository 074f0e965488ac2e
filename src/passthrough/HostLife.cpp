#include "src/passthrough/HostLife.h"

namespace heatherplank {

namespace {

/** Earlier names of hosts at one slot that are remembered; a host is replaced
 * a few times a day, and late calls are seconds old. */
constexpr std::size_t kMostEarlierIds = 64;

/** A host counts its announcements from 1. */
constexpr std::uint64_t kFirstSequence = 1;

} // namespace

HostLife::HostLife(Duration aSilentAfter)
  : mSilentAfter(aSilentAfter)
{
}

bool HostLife::IsOfThisLife(const HostAnnouncement& aIt) const
{
  return mKnown && aIt.mId == mId &&
         (!aIt.mStartedAt || !mStartedAt || *aIt.mStartedAt == *mStartedAt);
}

/** Failure met: a call that was held up by a partition arrives after another
 * host took the place of its sender. It would bring a dead host's state back,
 * or end a live one. The start times order two lives; names that were left
 * behind order those that give none. */
bool HostLife::IsOfEarlierLife(const HostAnnouncement& aIt) const
{
  if (!mKnown) {
    return false;
  }
  if (aIt.mStartedAt && mStartedAt) {
    return *aIt.mStartedAt < *mStartedAt;
  }
  return mEarlierIds.contains(aIt.mId);
}

void HostLife::Begin(const HostAnnouncement& aIt)
{
  if (mKnown && mId != aIt.mId) {
    if (mEarlierIds.size() >= kMostEarlierIds) {
      mEarlierIds.clear();
    }
    mEarlierIds.insert(mId);
  }
  // A second life in sight of this process is known from its start as well.
  mKnownFromStart =
    mKnown || aIt.mSequence.value_or(kFirstSequence + 1) <= kFirstSequence;
  mKnown = true;
  mId = aIt.mId;
  mStartedAt = aIt.mStartedAt;
  mSequence = 0;
  mPhase = HostPhase::Ready;
}

AnnouncementEffect HostLife::OnAnnouncement(const HostAnnouncement& aIt,
                                            Time aNow)
{
  bool isFirst = !mKnown;
  bool sameLife = IsOfThisLife(aIt);
  if (!sameLife && IsOfEarlierLife(aIt)) {
    return AnnouncementEffect::Stale;
  }
  if (aIt.mPhase == HostPhase::Gone) {
    // A farewell of a host that was never heard says nothing of this one.
    if (!sameLife) {
      return AnnouncementEffect::Stale;
    }
    bool changed = mPhase != HostPhase::Gone;
    mPhase = HostPhase::Gone;
    return changed ? AnnouncementEffect::Changed
                   : AnnouncementEffect::Refreshed;
  }
  std::uint64_t sequence = aIt.mSequence.value_or(0);
  if (sameLife && sequence <= mSequence && mSequence > 0) {
    return AnnouncementEffect::Stale;
  }
  if (!sameLife) {
    Begin(aIt);
  }
  bool changed = mPhase != aIt.mPhase || mSlots != aIt.mSlots;
  mSequence = sequence;
  mPhase = aIt.mPhase;
  mSlots = aIt.mSlots;
  mColdUntil = aNow + aIt.mColdFor;
  mHeardAt = aNow;
  if (!sameLife && !isFirst) {
    return AnnouncementEffect::NewLife;
  }
  return changed || isFirst ? AnnouncementEffect::Changed
                            : AnnouncementEffect::Refreshed;
}

bool HostLife::IsHeard(Time aNow) const
{
  return mKnown && aNow - mHeardAt < mSilentAfter;
}

bool HostLife::TakesNewFlows(Time aNow) const
{
  return IsHeard(aNow) && mPhase == HostPhase::Ready;
}

} // namespace heatherplank
