#include "src/membership/MemberTable.h"

#include <algorithm>
#include <limits>

namespace heatherplank {

std::string_view ToString(MemberEvent aEvent)
{
  switch (aEvent) {
    case MemberEvent::HeartbeatTaken:
      return "heartbeat_taken";
    case MemberEvent::HeartbeatStale:
      return "heartbeat_stale";
    case MemberEvent::RefusedByInventory:
      return "refused_by_inventory";
    case MemberEvent::Suspected:
      return "suspected";
    case MemberEvent::DeclaredDead:
      return "declared_dead";
    case MemberEvent::Refuted:
      return "refuted";
    case MemberEvent::DeathHeldByCap:
      return "death_held_by_cap";
    case MemberEvent::Left:
      return "left";
    case MemberEvent::TombstoneExpired:
      return "tombstone_expired";
    case MemberEvent::TombstoneEvicted:
      return "tombstone_evicted";
  }
  return "unknown";
}

MemberTable::MemberTable(MemberTableId aId, const InventoryCheck& aCheck,
                         const MemberTableOptions& aOptions)
  : mId(aId)
  , mCheck(aCheck)
  , mOptions(aOptions)
  , mIsMonitor([](const Member&) { return true; })
{
}

MemberTable::~MemberTable()
{
  // Hooks check on destruction that they stand in no list.
  mHeard.clear();
  mForgiven.clear();
  mSilent.clear();
  mChanges.clear();
  mStarting.clear();
  mGone.clear();
}

std::uint64_t MemberTable::Count(MemberEvent aEvent) const
{
  return mCounts[static_cast<std::size_t>(aEvent)];
}

MemberEntry* MemberTable::Find(HostId aHost)
{
  auto it = mEntries.find(aHost);
  return it == mEntries.end() ? nullptr : &it->second;
}

bool MemberTable::OnHeartbeat(const Heartbeat& aHeartbeat, Time aNow)
{
  MemberRecord record = aHeartbeat.mRecord;
  record.mVerdict = Verdict::Alive;
  if (IsRefused(record)) {
    return false;
  }
  const MemberEntry* held = Find(record.mMember.mHost);
  bool stale =
    held != nullptr &&
    (held->mRecord.mMember.mIncarnation > record.mMember.mIncarnation ||
     (held->mRecord.mMember.mIncarnation == record.mMember.mIncarnation &&
      held->mRecord.mBeat >= record.mBeat));
  Bump(stale ? MemberEvent::HeartbeatStale : MemberEvent::HeartbeatTaken);
  bool changed = Merge(record, aNow);
  MemberEntry& entry = *Find(record.mMember.mHost);
  if (!entry.mBeatsHere && !entry.IsGone()) {
    entry.mBeatsHere = true;
    Unwatch(entry);
    Watch(entry, aNow);
  }
  if (changed) {
    MarkForPeers(entry);
  }
  CloseEvent(aHeartbeat.mVersion);
  return true;
}

std::vector<MemberRecord> MemberTable::OnDelta(const MemberDelta& aDelta,
                                               Time aNow)
{
  return MergeAll(aDelta.mRecords, aDelta.mVersion, aNow);
}

void MemberTable::OnSnapshot(const MemberSnapshot& aSnapshot, Time aNow)
{
  std::vector<MemberRecord> known = aSnapshot.mRecords;
  std::erase_if(known, [this](const MemberRecord& aRecord) {
    bool gone = aRecord.mVerdict == Verdict::Dead ||
                aRecord.mMember.mState == HostState::Leaving;
    return gone && Find(aRecord.mMember.mHost) == nullptr;
  });
  MergeAll(known, aSnapshot.mVersion, aNow);
}

void MemberTable::OnServiceDelta(ServiceId aService, const MemberDelta& aDelta,
                                 Duration aSilent, Time aNow)
{
  OnDelta(aDelta, aNow);
  auto state = mServices.find(aService);
  if (state == mServices.end()) {
    return;
  }
  std::vector<MemberEntry*> unconfirmed;
  std::set<HostId> listed;
  for (const MemberRecord& it : aDelta.mRecords) {
    listed.insert(it.mMember.mHost);
  }
  for (const auto& [host, entry] : state->second.mEntries) {
    bool silent = aNow - entry->mHeardAt >= aSilent;
    if (!listed.contains(host) && !entry->IsGone() && silent) {
      unconfirmed.push_back(entry);
    }
  }
  for (MemberEntry* it : unconfirmed) {
    Erase(*it);
  }
  CloseEvent(aDelta.mVersion);
}

std::vector<MemberRecord> MemberTable::MergeAll(
  std::span<const MemberRecord> aRecords, std::uint64_t aVersion, Time aNow)
{
  std::vector<MemberRecord> news;
  for (const MemberRecord& it : aRecords) {
    if (!IsRefused(it) && Merge(it, aNow)) {
      news.push_back(it);
    }
  }
  CloseEvent(aVersion);
  return news;
}

/** Failure met: an agent with a wrong setting announces itself for a service
 * that is not its own, and would be sent that service's requests. Shown by
 * refused_by_inventory. It holds since every way into the table passes here,
 * and the agent checks the service again on delivery. */
bool MemberTable::IsRefused(const MemberRecord& aRecord)
{
  if (mCheck.Allows(aRecord.mMember)) {
    return false;
  }
  Bump(MemberEvent::RefusedByInventory);
  return true;
}

bool MemberTable::Merge(const MemberRecord& aRecord, Time aNow)
{
  MemberEntry* entry = Find(aRecord.mMember.mHost);
  if (entry == nullptr) {
    return Insert(aRecord, aNow);
  }
  return Update(*entry, aRecord, aNow);
}

bool MemberTable::Insert(const MemberRecord& aRecord, Time aNow)
{
  MemberEntry& entry = mEntries[aRecord.mMember.mHost];
  entry.mRecord = aRecord;
  entry.mServingSince = aNow - aRecord.mAge;
  mServices[aRecord.mMember.mService].mEntries[aRecord.mMember.mHost] = &entry;
  Place(entry, aNow);
  MarkChanged(entry);
  return true;
}

bool MemberTable::Update(MemberEntry& aEntry, const MemberRecord& aFrom,
                         Time aNow)
{
  if (IsDeathHeld(aEntry, aFrom, aNow)) {
    return false;
  }
  Refute(aEntry, aFrom);
  MemberRecord before = aEntry.mRecord;
  bool changed = MergeRecord(aEntry.mRecord, aFrom);
  const Member& held = aEntry.mRecord.mMember;
  bool restarted = held.mIncarnation != before.mMember.mIncarnation;
  if (restarted || held.mState != before.mMember.mState) {
    aEntry.mServingSince = aNow - aFrom.mAge;
  }
  if (held.mService != before.mMember.mService) {
    MarkChanged(aEntry);
    mServices[before.mMember.mService].mEntries.erase(held.mHost);
    mTouched.push_back(before.mMember.mService);
    mServices[held.mService].mEntries[held.mHost] = &aEntry;
  }
  bool heard = restarted || aEntry.mRecord.mBeat != before.mBeat;
  if (heard || held.mState != before.mMember.mState || aEntry.IsGone()) {
    Place(aEntry, aNow);
  }
  if (changed) {
    MarkChanged(aEntry);
  }
  return changed;
}

/** Failure met: a peer that is itself cut off declares most hosts dead, and
 * its verdicts empty every view. Shown by death_held_by_cap. It holds since
 * freshly dead hosts are counted whoever judged them. */
bool MemberTable::IsDeathHeld(const MemberEntry& aEntry,
                              const MemberRecord& aFrom, Time aNow)
{
  bool kills = aFrom.mVerdict == Verdict::Dead && !aEntry.IsGone();
  if (!kills || !mOptions.mCapDeaths) {
    return false;
  }
  std::size_t dead = FreshlyDead(aNow, false);
  if (dead + 1 <= DeathCap(Size() + dead)) {
    return false;
  }
  Bump(MemberEvent::DeathHeldByCap);
  return true;
}

/** Failure met: one balancer can't hear a host that others hear, and has it
 * dropped everywhere. Shown by refuted. It holds since beats are counted by
 * the host itself: whoever holds a later beat than the suspicion names has
 * evidence that the suspicion lacks, with no clock compared. */
void MemberTable::Refute(MemberEntry& aEntry, const MemberRecord& aFrom)
{
  const MemberRecord& held = aEntry.mRecord;
  bool same = aFrom.mMember.mIncarnation == held.mMember.mIncarnation;
  if (same && aFrom.mVerdict > held.mVerdict && aFrom.mBeat < held.mBeat) {
    Bump(MemberEvent::Refuted);
    MarkForPeers(aEntry);
  }
}

/** Puts an entry into the lists that its record calls for. */
void MemberTable::Place(MemberEntry& aEntry, Time aNow)
{
  aEntry.mHeardAt = aNow;
  Unwatch(aEntry);
  Unlink(mStarting, aEntry, aEntry.mStartHook);
  if (aEntry.IsGone()) {
    if (!aEntry.mGoneHook.is_linked()) {
      bool left = aEntry.mRecord.mMember.mState == HostState::Leaving;
      Bump(left ? MemberEvent::Left : MemberEvent::DeclaredDead);
      aEntry.mGoneAt = aNow;
      mGone.push_back(aEntry);
    }
    return;
  }
  Unlink(mGone, aEntry, aEntry.mGoneHook);
  aEntry.mJudgedHere = false;
  Watch(aEntry, aNow);
  std::uint16_t step = StepOf(aEntry, aNow);
  if (step != aEntry.mStep) {
    aEntry.mStep = step;
    MarkChanged(aEntry);
  }
  if (step < mOptions.mSlowStartSteps) {
    mStarting.push_back(aEntry);
  }
}

void MemberTable::Watch(MemberEntry& aEntry, Time aNow)
{
  if (mOptions.mJudgesSilence && mIsMonitor(aEntry.mRecord.mMember)) {
    aEntry.mHeardAt = aNow;
    aEntry.mWatched = aEntry.mBeatsHere ? Watched::Heard : Watched::Forgiven;
    ListOf(aEntry).push_back(aEntry);
  }
}

SilenceList& MemberTable::ListOf(const MemberEntry& aEntry)
{
  switch (aEntry.mWatched) {
    case Watched::Forgiven:
      return mForgiven;
    case Watched::Silent:
      return mSilent;
    default:
      return mHeard;
  }
}

void MemberTable::Unwatch(MemberEntry& aEntry)
{
  if (!aEntry.mSilenceHook.is_linked()) {
    return;
  }
  SilenceList& list = ListOf(aEntry);
  list.erase(list.iterator_to(aEntry));
  aEntry.mWatched = Watched::No;
}

void MemberTable::SetMonitored(
  const std::function<bool(const Member&)>& aIsMonitor, Time aNow)
{
  mIsMonitor = aIsMonitor;
  for (auto& [host, entry] : mEntries) {
    bool watched = entry.mSilenceHook.is_linked();
    if (watched && !mIsMonitor(entry.mRecord.mMember)) {
      Unwatch(entry);
    } else if (!watched && !entry.IsGone()) {
      // It may have beaten here by chance, as agents probe balancers.
      entry.mBeatsHere = false;
      Watch(entry, aNow);
    }
  }
}

void MemberTable::Recheck(Time aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    MemberEntry& entry = it->second;
    ++it;
    if (IsRefused(entry.mRecord)) {
      Erase(entry);
    }
  }
  CloseEvent();
  UpdateIsolation(aNow);
}

void MemberTable::Erase(MemberEntry& aEntry)
{
  Unwatch(aEntry);
  Unlink(mChanges, aEntry, aEntry.mChangeHook);
  Unlink(mStarting, aEntry, aEntry.mStartHook);
  Unlink(mGone, aEntry, aEntry.mGoneHook);
  Member member = aEntry.mRecord.mMember;
  MarkChanged(aEntry);
  mServices[member.mService].mEntries.erase(member.mHost);
  mEntries.erase(member.mHost);
}

} // namespace heatherplank
