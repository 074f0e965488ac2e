// What time does to a table: suspicion, death, slow start, forgetting.
#include <algorithm>

#include "src/membership/MemberTable.h"

namespace heatherplank {

void MemberTable::OnTick(Time aNow)
{
  CollectSilent(aNow);
  UpdateIsolation(aNow);
  if (!mIsolated) {
    RaiseSuspicions(aNow);
    DeclareDeaths(aNow);
  }
  MoveSlowStarts(aNow);
  ExpireTombstones(aNow);
  CloseEvent();
}

void MemberTable::CollectSilent(Time aNow)
{
  MoveOverdue(mHeard, mOptions.mSuspectAfter, aNow);
  MoveOverdue(mForgiven, mOptions.mSuspectAfter + mOptions.mNewlyJudgedGrace,
              aNow);
}

void MemberTable::MoveOverdue(SilenceList& aList, Duration aAfter, Time aNow)
{
  while (!aList.empty() && aNow - aList.front().mHeardAt >= aAfter) {
    MemberEntry& entry = aList.front();
    aList.pop_front();
    entry.mWatched = Watched::Silent;
    mSilent.push_back(entry);
  }
}

/** Failure met: this balancer is cut off (or was frozen), hears nobody, and
 * would drop the whole fleet. Shown by IsIsolated and readiness. It holds
 * since all silent hosts are collected before any is judged, so the first
 * death is weighed against the silence of all. */
void MemberTable::UpdateIsolation(Time aNow)
{
  std::size_t silent = mSilent.size() + FreshlyDead(aNow, true);
  std::size_t cap = DeathCap(mHeard.size() + silent);
  mIsolated = mOptions.mCapDeaths && silent > cap;
}

std::vector<Member> MemberTable::Suspected(std::size_t aLimit) const
{
  std::vector<Member> out;
  for (const MemberEntry& it : mSilent) {
    if (mIsolated || out.size() >= aLimit) {
      break;
    }
    out.push_back(it.mRecord.mMember);
  }
  return out;
}

void MemberTable::RaiseSuspicions(Time aNow)
{
  for (MemberEntry& it : mSilent) {
    if (it.mRecord.mVerdict == Verdict::Alive || !it.mJudgedHere) {
      Bump(MemberEvent::Suspected);
      Judge(it, Verdict::Suspect, aNow);
    }
  }
}

void MemberTable::DeclareDeaths(Time aNow)
{
  for (auto it = mSilent.begin(); it != mSilent.end();) {
    MemberEntry& entry = *it;
    ++it;
    if (aNow - entry.mSuspectedAt >= mOptions.mRefuteWithin) {
      Judge(entry, Verdict::Dead, aNow);
      Place(entry, aNow);
    }
  }
}

void MemberTable::Judge(MemberEntry& aEntry, Verdict aVerdict, Time aNow)
{
  aEntry.mRecord.mVerdict = aVerdict;
  aEntry.mJudgedHere = true;
  aEntry.mSuspectedAt = aNow;
  MarkChanged(aEntry);
  MarkForPeers(aEntry);
}

std::size_t MemberTable::FreshlyDead(Time aNow, bool aJudgedHereOnly) const
{
  std::size_t n = 0;
  for (auto it = mGone.rbegin(); it != mGone.rend(); ++it) {
    if (aNow - it->mGoneAt >= mOptions.mDeadCountsFor) {
      break;
    }
    bool dead = it->mRecord.mVerdict == Verdict::Dead;
    n += dead && (it->mJudgedHere || !aJudgedHereOnly) ? 1 : 0;
  }
  return n;
}

std::size_t MemberTable::DeathCap(std::size_t aMembers) const
{
  auto share = static_cast<std::size_t>(mOptions.mDeadShare *
                                        static_cast<double>(aMembers));
  return std::max<std::size_t>(1, share);
}

/** Failure met: a host that just started gets its full share before its caches
 * are warm, and the requests sent to it wait. Shown as latency after each
 * restart. Its weight grows in steps, so that views change a few times and
 * not all the time. */
void MemberTable::MoveSlowStarts(Time aNow)
{
  for (auto it = mStarting.begin(); it != mStarting.end();) {
    MemberEntry& entry = *it;
    std::uint16_t step = StepOf(entry, aNow);
    if (step != entry.mStep) {
      entry.mStep = step;
      MarkChanged(entry);
    }
    it = step >= mOptions.mSlowStartSteps ? mStarting.erase(it) : std::next(it);
  }
}

/** Failure met: a record that was on its way (or held by a cut-off peer) while
 * its host left brings the host back to life. Shown as a member that answers
 * nothing. The tombstone holds the later state and beat, against which the
 * stale record loses; a record staler than the tombstone's time is silent, so
 * it is suspected and dies again. */
void MemberTable::ExpireTombstones(Time aNow)
{
  while (!mGone.empty()) {
    MemberEntry& oldest = mGone.front();
    bool expired = aNow - oldest.mGoneAt >= mOptions.mTombstoneFor;
    bool evicted = !expired && mGone.size() > mOptions.mTombstoneLimit;
    if (!expired && !evicted) {
      return;
    }
    Bump(expired ? MemberEvent::TombstoneExpired
                 : MemberEvent::TombstoneEvicted);
    Erase(oldest);
  }
}

std::uint16_t MemberTable::StepOf(const MemberEntry& aEntry, Time aNow) const
{
  HostState state = aEntry.mRecord.mMember.mState;
  if (mOptions.mSlowStart == Duration{}) {
    return mOptions.mSlowStartSteps;
  }
  if (state == HostState::Cold) {
    return 1;
  }
  Duration age = aNow - aEntry.mServingSince;
  if (state != HostState::Serving || age >= mOptions.mSlowStart) {
    return mOptions.mSlowStartSteps;
  }
  auto grown = age * (mOptions.mSlowStartSteps - 1) / mOptions.mSlowStart;
  return static_cast<std::uint16_t>(1 + std::max<decltype(grown)>(0, grown));
}

} // namespace heatherplank
