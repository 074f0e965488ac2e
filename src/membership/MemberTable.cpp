#include "src/membership/MemberTable.h"

#include <algorithm>
#include <limits>

namespace heatherplank {

std::string_view ToString(MemberEvent aEvent)
{
  switch (aEvent) {
    case MemberEvent::HeartbeatAccepted:
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
  , mIsMonitoredHere([](const Member&) { return true; })
{
}

MemberTable::~MemberTable()
{
  // Hooks assert on destruction that they are unlinked.
  mResponsive.clear();
  mInGracePeriod.clear();
  mUnresponsive.clear();
  mPeerChanges.clear();
  mSlowStarting.clear();
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
  const MemberEntry* current = Find(record.mMember.mHost);
  bool stale =
    current != nullptr &&
    (current->mRecord.mMember.mIncarnation > record.mMember.mIncarnation ||
     (current->mRecord.mMember.mIncarnation == record.mMember.mIncarnation &&
      current->mRecord.mHeartbeatNumber >= record.mHeartbeatNumber));
  CountEvent(stale ? MemberEvent::HeartbeatStale
                   : MemberEvent::HeartbeatAccepted);
  bool changed = Merge(record, aNow);
  MemberEntry& entry = *Find(record.mMember.mHost);
  if (!entry.mSendsHeartbeatsHere && !entry.IsGone()) {
    entry.mSendsHeartbeatsHere = true;
    StopMonitoring(entry);
    StartMonitoring(entry, aNow);
  }
  if (changed) {
    MarkForPeers(entry);
  }
  CommitChanges(aHeartbeat.mVersion);
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
  std::erase_if(known, [this, aNow](const MemberRecord& aRecord) {
    bool dead = aRecord.mVerdict == Verdict::Dead;
    bool gone = dead || aRecord.mMember.mState == HostState::Leaving;
    bool isIgnored = gone && Find(aRecord.mMember.mHost) == nullptr;
    if (isIgnored && dead) {
      RecordReportedDeath(aRecord.mMember.mHost, aNow);
    }
    return isIgnored;
  });
  MergeAll(known, aSnapshot.mVersion, aNow);
}

void MemberTable::OnServiceDelta(ServiceId aService, const MemberDelta& aDelta,
                                 Duration aUnlistedTimeout, Time aNow)
{
  OnDelta(aDelta, aNow);
  auto state = mServices.find(aService);
  if (state == mServices.end()) {
    return;
  }
  std::vector<MemberEntry*> dropped;
  std::set<HostId> listed;
  for (const MemberRecord& it : aDelta.mRecords) {
    listed.insert(it.mMember.mHost);
  }
  for (const auto& [host, entry] : state->second.mEntries) {
    bool outdated = aNow - entry->mLastHeartbeatAt >= aUnlistedTimeout;
    if (!listed.contains(host) && !entry->IsGone() && outdated) {
      dropped.push_back(entry);
    }
  }
  for (MemberEntry* it : dropped) {
    Erase(*it);
  }
  CommitChanges(aDelta.mVersion);
}

std::vector<MemberRecord> MemberTable::MergeAll(
  std::span<const MemberRecord> aRecords, std::uint64_t aVersion, Time aNow)
{
  std::vector<MemberRecord> changed;
  for (const MemberRecord& it : aRecords) {
    if (!IsRefused(it) && Merge(it, aNow)) {
      changed.push_back(it);
    }
  }
  CommitChanges(aVersion);
  return changed;
}

/** Guards against: a misconfigured agent announces itself for a service that
 * its host doesn't run, and would be sent that service's requests. Visible in
 * the counter refused_by_inventory. Every record that enters the table is
 * checked here, and the agent checks the service again on delivery. */
bool MemberTable::IsRefused(const MemberRecord& aRecord)
{
  if (mCheck.Allows(aRecord.mMember)) {
    return false;
  }
  CountEvent(MemberEvent::RefusedByInventory);
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
  mReportedDeaths.erase(aRecord.mMember.mHost);
  MemberEntry& entry = mEntries[aRecord.mMember.mHost];
  entry.mRecord = aRecord;
  entry.mServingSince = aNow - aRecord.mAge;
  mServices[aRecord.mMember.mService].mEntries[aRecord.mMember.mHost] = &entry;
  UpdateLists(entry, aNow);
  MarkChanged(entry);
  return true;
}

bool MemberTable::Update(MemberEntry& aEntry, const MemberRecord& aFrom,
                         Time aNow)
{
  if (ExceedsDeathCap(aEntry, aFrom, aNow)) {
    return false;
  }
  RefuteStaleVerdict(aEntry, aFrom);
  MemberRecord before = aEntry.mRecord;
  bool changed = MergeRecord(aEntry.mRecord, aFrom);
  const Member& current = aEntry.mRecord.mMember;
  bool restarted = current.mIncarnation != before.mMember.mIncarnation;
  if (restarted || current.mState != before.mMember.mState) {
    aEntry.mServingSince = aNow - aFrom.mAge;
  }
  if (current.mService != before.mMember.mService) {
    MarkChanged(aEntry);
    mServices[before.mMember.mService].mEntries.erase(current.mHost);
    mUncommittedServices.push_back(before.mMember.mService);
    mServices[current.mService].mEntries[current.mHost] = &aEntry;
  }
  bool newHeartbeat =
    restarted || aEntry.mRecord.mHeartbeatNumber != before.mHeartbeatNumber;
  if (newHeartbeat || current.mState != before.mMember.mState ||
      aEntry.IsGone()) {
    UpdateLists(aEntry, aNow);
  }
  if (changed) {
    MarkChanged(aEntry);
  }
  return changed;
}

/** Guards against: an isolated peer declares most hosts dead, and its verdicts
 * empty every view. Visible in the counter death_held_by_cap. The cap counts
 * all recent deaths, whichever balancer declared them. */
bool MemberTable::ExceedsDeathCap(const MemberEntry& aEntry,
                                  const MemberRecord& aFrom, Time aNow)
{
  bool declaresDead = aFrom.mVerdict == Verdict::Dead && !aEntry.IsGone();
  if (!declaresDead || !mOptions.mCapDeaths) {
    return false;
  }
  std::size_t dead = CountRecentDeaths(aNow, false);
  if (dead + 1 <= DeathCap(Size() + dead)) {
    return false;
  }
  CountEvent(MemberEvent::DeathHeldByCap);
  return true;
}

/** Guards against: one balancer receives no heartbeats from a host that others
 * can reach, and its suspicion removes the host from every view. Visible in the
 * counter refuted. Heartbeats are numbered by the host, so a balancer that
 * knows a later heartbeat than the suspicion does can refute it without
 * comparing clocks. */
void MemberTable::RefuteStaleVerdict(MemberEntry& aEntry,
                                     const MemberRecord& aFrom)
{
  const MemberRecord& current = aEntry.mRecord;
  bool sameIncarnation =
    aFrom.mMember.mIncarnation == current.mMember.mIncarnation;
  if (sameIncarnation && aFrom.mVerdict > current.mVerdict &&
      aFrom.mHeartbeatNumber < current.mHeartbeatNumber) {
    CountEvent(MemberEvent::Refuted);
    MarkForPeers(aEntry);
  }
}

/** Moves an entry to the lists of its state. Also restarts its monitoring,
 * counts a departure or death, and sets its slow-start step. */
void MemberTable::UpdateLists(MemberEntry& aEntry, Time aNow)
{
  aEntry.mLastHeartbeatAt = aNow;
  StopMonitoring(aEntry);
  Unlink(mSlowStarting, aEntry, aEntry.mSlowStartHook);
  if (aEntry.IsGone()) {
    if (!aEntry.mGoneHook.is_linked()) {
      bool left = aEntry.mRecord.mMember.mState == HostState::Leaving;
      CountEvent(left ? MemberEvent::Left : MemberEvent::DeclaredDead);
      aEntry.mGoneSince = aNow;
      mGone.push_back(aEntry);
    }
    return;
  }
  Unlink(mGone, aEntry, aEntry.mGoneHook);
  aEntry.mVerdictIsLocal = false;
  StartMonitoring(aEntry, aNow);
  std::uint16_t step = SlowStartStepOf(aEntry, aNow);
  if (step != aEntry.mSlowStartStep) {
    aEntry.mSlowStartStep = step;
    MarkChanged(aEntry);
  }
  if (step < mOptions.mSlowStartSteps) {
    mSlowStarting.push_back(aEntry);
  }
}

void MemberTable::StartMonitoring(MemberEntry& aEntry, Time aNow)
{
  if (mOptions.mDetectsFailures && mIsMonitoredHere(aEntry.mRecord.mMember)) {
    aEntry.mLastHeartbeatAt = aNow;
    aEntry.mMonitorState = aEntry.mSendsHeartbeatsHere
                             ? MonitorState::Responsive
                             : MonitorState::InGracePeriod;
    ListOf(aEntry).push_back(aEntry);
  }
}

MonitorList& MemberTable::ListOf(const MemberEntry& aEntry)
{
  switch (aEntry.mMonitorState) {
    case MonitorState::InGracePeriod:
      return mInGracePeriod;
    case MonitorState::Unresponsive:
      return mUnresponsive;
    default:
      return mResponsive;
  }
}

void MemberTable::StopMonitoring(MemberEntry& aEntry)
{
  if (!aEntry.mMonitorHook.is_linked()) {
    return;
  }
  MonitorList& list = ListOf(aEntry);
  list.erase(list.iterator_to(aEntry));
  aEntry.mMonitorState = MonitorState::Unmonitored;
}

void MemberTable::SetMonitored(
  const std::function<bool(const Member&)>& aIsMonitoredHere, Time aNow)
{
  mIsMonitoredHere = aIsMonitoredHere;
  for (auto& [host, entry] : mEntries) {
    bool monitored = entry.mMonitorHook.is_linked();
    if (monitored && !mIsMonitoredHere(entry.mRecord.mMember)) {
      StopMonitoring(entry);
    } else if (!monitored && !entry.IsGone()) {
      // Earlier heartbeats may be those that agents send to random balancers.
      entry.mSendsHeartbeatsHere = false;
      StartMonitoring(entry, aNow);
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
  CommitChanges();
  UpdateIsolation(aNow);
}

void MemberTable::Erase(MemberEntry& aEntry)
{
  StopMonitoring(aEntry);
  Unlink(mPeerChanges, aEntry, aEntry.mPeerChangeHook);
  Unlink(mSlowStarting, aEntry, aEntry.mSlowStartHook);
  Unlink(mGone, aEntry, aEntry.mGoneHook);
  Member member = aEntry.mRecord.mMember;
  MarkChanged(aEntry);
  mServices[member.mService].mEntries.erase(member.mHost);
  mEntries.erase(member.mHost);
}

} // namespace heatherplank
