// Time-driven changes of a table: suspicion, death, slow start and the expiry
// of tombstones.
#include <algorithm>

#include "src/membership/MemberTable.h"

namespace heatherplank {

void MemberTable::OnTick(Time aNow)
{
  CollectUnresponsive(aNow);
  UpdateIsolation(aNow);
  if (!mIsolated) {
    RaiseSuspicions(aNow);
    DeclareDeaths(aNow);
  }
  AdvanceSlowStarts(aNow);
  ExpireTombstones(aNow);
  CommitChanges();
}

void MemberTable::CollectUnresponsive(Time aNow)
{
  MoveOverdue(mResponsive, mOptions.mSuspectTimeout, aNow);
  MoveOverdue(mInGracePeriod,
              mOptions.mSuspectTimeout + mOptions.mNewMonitorGracePeriod, aNow);
}

void MemberTable::MoveOverdue(MonitorList& aList, Duration aTimeout, Time aNow)
{
  while (!aList.empty() && aNow - aList.front().mLastHeartbeatAt >= aTimeout) {
    MemberEntry& entry = aList.front();
    aList.pop_front();
    entry.mMonitorState = MonitorState::Unresponsive;
    mUnresponsive.push_back(entry);
  }
}

/** Guards against: this balancer is isolated or was stalled, receives no
 * heartbeats, and would drop the whole fleet. Visible in IsIsolated and the
 * readiness. All overdue hosts are collected before any is declared dead, so
 * the cap counts every unresponsive host before the first death. */
void MemberTable::UpdateIsolation(Time aNow)
{
  std::size_t failed = mUnresponsive.size() + CountRecentDeaths(aNow, true);
  std::size_t cap = DeathCap(mResponsive.size() + failed);
  mIsolated = mOptions.mCapDeaths && failed > cap;
}

std::vector<Member> MemberTable::Suspected(std::size_t aLimit) const
{
  std::vector<Member> out;
  for (const MemberEntry& it : mUnresponsive) {
    if (mIsolated || out.size() >= aLimit) {
      break;
    }
    out.push_back(it.mRecord.mMember);
  }
  return out;
}

void MemberTable::RaiseSuspicions(Time aNow)
{
  for (MemberEntry& it : mUnresponsive) {
    if (it.mRecord.mVerdict == Verdict::Alive || !it.mVerdictIsLocal) {
      CountEvent(MemberEvent::Suspected);
      SetLocalVerdict(it, Verdict::Suspect, aNow);
    }
  }
}

void MemberTable::DeclareDeaths(Time aNow)
{
  for (auto it = mUnresponsive.begin(); it != mUnresponsive.end();) {
    MemberEntry& entry = *it;
    ++it;
    if (aNow - entry.mSuspectedAt >= mOptions.mRefutationTimeout) {
      SetLocalVerdict(entry, Verdict::Dead, aNow);
      UpdateLists(entry, aNow);
    }
  }
}

void MemberTable::SetLocalVerdict(MemberEntry& aEntry, Verdict aVerdict,
                                  Time aNow)
{
  aEntry.mRecord.mVerdict = aVerdict;
  aEntry.mVerdictIsLocal = true;
  aEntry.mSuspectedAt = aNow;
  MarkChanged(aEntry);
  MarkForPeers(aEntry);
}

std::size_t MemberTable::CountRecentDeaths(Time aNow, bool aLocalOnly) const
{
  std::size_t n = 0;
  for (auto it = mGone.rbegin(); it != mGone.rend(); ++it) {
    if (aNow - it->mGoneSince >= mOptions.mRecentDeathWindow) {
      break;
    }
    bool dead = it->mRecord.mVerdict == Verdict::Dead;
    n += dead && (it->mVerdictIsLocal || !aLocalOnly) ? 1 : 0;
  }
  return n;
}

/** Repair may report a death again until the peer's tombstone expires; only the
 * first report counts. */
void MemberTable::RecordReportedDeath(HostId aHost, Time aNow)
{
  if (mReportedDeaths.size() < mOptions.mMaxTombstones) {
    mReportedDeaths.try_emplace(aHost, aNow);
  } else if (!mReportedDeaths.contains(aHost)) {
    mUnlistedDeathAt = aNow;
  }
}

bool MemberTable::HasRecentDeath(Duration aWithin, Time aNow) const
{
  for (auto it = mGone.rbegin(); it != mGone.rend(); ++it) {
    if (aNow - it->mGoneSince >= aWithin) {
      break;
    }
    if (it->mRecord.mVerdict == Verdict::Dead) {
      return true;
    }
  }
  bool isUnlisted =
    mUnlistedDeathAt != Time{} && aNow - mUnlistedDeathAt < aWithin;
  return isUnlisted ||
         std::ranges::any_of(mReportedDeaths, [&](const auto& aIt) {
           return aNow - aIt.second < aWithin;
         });
}

std::size_t MemberTable::DeathCap(std::size_t aMembers) const
{
  auto share = static_cast<std::size_t>(mOptions.mMaxDeadFraction *
                                        static_cast<double>(aMembers));
  return std::max<std::size_t>(1, share);
}

/** Guards against: a host that just started gets its full share of requests
 * before its caches are warm, and the requests wait. Visible as high latency
 * after each restart. The weight grows in steps to limit how often views
 * change. */
void MemberTable::AdvanceSlowStarts(Time aNow)
{
  for (auto it = mSlowStarting.begin(); it != mSlowStarting.end();) {
    MemberEntry& entry = *it;
    std::uint16_t step = SlowStartStepOf(entry, aNow);
    if (step != entry.mSlowStartStep) {
      entry.mSlowStartStep = step;
      MarkChanged(entry);
    }
    it = step >= mOptions.mSlowStartSteps ? mSlowStarting.erase(it)
                                          : std::next(it);
  }
}

/** Guards against: a record that was in flight, or held by an isolated peer,
 * when its host left adds the host again as a member that never answers. The
 * tombstone has the later state and heartbeat, so merging rejects the stale
 * record. A stale record that arrives after the tombstone expired is followed
 * by no heartbeats, so the host is suspected and declared dead again. */
void MemberTable::ExpireTombstones(Time aNow)
{
  std::erase_if(mReportedDeaths, [&](const auto& aIt) {
    return aNow - aIt.second >= mOptions.mTombstoneTtl;
  });
  while (!mGone.empty()) {
    MemberEntry& oldest = mGone.front();
    bool expired = aNow - oldest.mGoneSince >= mOptions.mTombstoneTtl;
    bool evicted = !expired && mGone.size() > mOptions.mMaxTombstones;
    if (!expired && !evicted) {
      return;
    }
    CountEvent(expired ? MemberEvent::TombstoneExpired
                       : MemberEvent::TombstoneEvicted);
    Erase(oldest);
  }
}

std::uint16_t MemberTable::SlowStartStepOf(const MemberEntry& aEntry,
                                           Time aNow) const
{
  HostState state = aEntry.mRecord.mMember.mState;
  if (mOptions.mSlowStartDuration == Duration{}) {
    return mOptions.mSlowStartSteps;
  }
  if (state == HostState::Cold) {
    return 1;
  }
  Duration age = aNow - aEntry.mServingSince;
  if (state != HostState::Serving || age >= mOptions.mSlowStartDuration) {
    return mOptions.mSlowStartSteps;
  }
  auto grown =
    age * (mOptions.mSlowStartSteps - 1) / mOptions.mSlowStartDuration;
  return static_cast<std::uint16_t>(1 + std::max<decltype(grown)>(0, grown));
}

} // namespace heatherplank
