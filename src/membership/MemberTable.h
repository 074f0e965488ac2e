#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/membership/MemberEntry.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

/** What the inventory says of who may announce what. */
class InventoryCheck
{
public:
  virtual ~InventoryCheck() = default;

  /** True if the inventory gives the member's service to its host. Called
   * under whatever lock the table's owner holds. */
  virtual bool Allows(const Member& aMember) const = 0;
};

/** An event of a table that is counted. */
enum class MemberEvent : std::uint8_t
{
  HeartbeatTaken,
  /** A heartbeat that was doubled, late or of an old incarnation. */
  HeartbeatStale,
  /** The inventory does not give the service to the host. */
  RefusedByInventory,
  Suspected,
  DeclaredDead,
  /** Newer evidence met a peer's suspicion or a death. */
  Refuted,
  /** A death that the cap held back. */
  DeathHeldByCap,
  Left,
  TombstoneExpired,
  TombstoneEvicted,
  Last = TombstoneEvicted,
};

/** The name of an event, as it stands in counters. */
std::string_view ToString(MemberEvent aEvent);

struct MemberTableOptions
{
  /** Silence after which a member is suspected: three heartbeats of 500 ms, so
   * that one lost datagram is no suspicion. */
  Duration mSuspectAfter = std::chrono::milliseconds(1500);
  /** How long a suspicion stands open to refutation before death. */
  Duration mRefuteWithin = std::chrono::milliseconds(1500);
  /** Silence that is forgiven to members that never beat to this process, since
   * they have yet to learn that they must. */
  Duration mNewlyJudgedGrace = std::chrono::seconds(3);
  /** Greatest share of members that may be silent or freshly dead at once. */
  double mDeadShare = 0.5;
  /** A death counts against the cap for this long. */
  Duration mDeadCountsFor = std::chrono::seconds(30);
  /** Guard switch: off, any number of members may be declared dead. */
  bool mCapDeaths = true;
  /** Off where another process judges silence (agents). */
  bool mJudgesSilence = true;
  /** Weight grows from the first step to all of it over this time; 0 for full
   * weight from the start, cold hosts too. */
  Duration mSlowStart = std::chrono::seconds(10);
  std::uint16_t mSlowStartSteps = 5;
  /** How long a host that left or died is remembered; longer than a cut
   * between regions, since a stale peer may bring it up again until then. */
  Duration mTombstoneFor = std::chrono::minutes(10);
  std::size_t mTombstoneLimit = 8192;
};

/** The members of a service in view. Immutable. */
struct MemberView
{
  /** Orders views without agreement: a Lamport clock. A view made with the
   * knowledge of another has no lower version; two made apart may tie. */
  std::uint64_t mVersion = 0;
  /** Ordered by host id; the weight is reduced while a host starts slowly, and
   * never 0. */
  std::vector<Member> mMembers;
  /** Those of them that were not heard for a while. */
  std::vector<HostId> mSuspects;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

/** The soft state of who is a member, in balancers (judging silence) and agents
 * (of their own service only). Pure: no I/O, time as an argument. Not thread
 * safe; views that it gave out are, and outlive it.
 */
class MemberTable
{
public:
  /** aCheck must outlive the table. */
  MemberTable(MemberTableId aId, const InventoryCheck& aCheck,
              const MemberTableOptions& aOptions = {});
  ~MemberTable();
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /** Takes a heartbeat that came from the member itself. False if refused. */
  bool OnHeartbeat(const Heartbeat& aHeartbeat, Time aNow);

  /** Takes records of a peer and gives those that were news, which a spreading
   * tree passes on. A suspicion that newer evidence here meets is refuted by
   * what is to be spread (TakeChanges). */
  std::vector<MemberRecord> OnDelta(const MemberDelta& aDelta, Time aNow);
  /** As OnDelta, but hosts unknown here that are gone there stay unknown:
   * repair must not hand tombstones round for ever. */
  void OnSnapshot(const MemberSnapshot& aSnapshot, Time aNow);
  /** Takes a complete ServiceDelta; members of its service that it lacks, and
   * that nothing was heard of for aSilent, are dropped. */
  void OnServiceDelta(ServiceId aService, const MemberDelta& aDelta,
                      Duration aSilent, Time aNow);

  /** Judges silence, moves slow starts on and forgets tombstones. Call it a
   * few times a second; cost is by what is due, not by members. */
  void OnTick(Time aNow);

  /** Names whose silence this table judges; all by default. A balancer that
   * is not among a host's monitors hears nothing from it and must not. Call
   * again when the balancers changed. */
  void SetMonitored(const std::function<bool(const Member&)>& aIsMonitor,
                    Time aNow);

  /** Members that are suspected here, at most aLimit, longest silent first. */
  std::vector<Member> Suspected(std::size_t aLimit) const;
  /** Some of the members in view, at random. */
  std::vector<Member> Sample(std::size_t aCount,
                             std::mt19937_64& aRandom) const;

  /** Applies the inventory again after it changed: drops refused members. */
  void Recheck(Time aNow);

  /** What is held of a host; nothing if it is unknown. */
  std::optional<MemberRecord> Find(HostId aHost, Time aNow) const;

  /** The view of a service; empty if it has no members. */
  MemberViewPtr View(ServiceId aService) const;
  /** Services whose view changed since the last call. */
  std::vector<ServiceId> TakeChangedServices();

  /** Up to aLimit records that peers should be told of, oldest change first,
   * each host once with its latest record. */
  std::vector<MemberRecord> TakeChanges(std::size_t aLimit, Time aNow);

  /** The records that changed in the view since the last call, from whatever
   * source: what the agents that this balancer monitors are told. */
  std::vector<MemberRecord> TakeNews(Time aNow);

  /** Hashes of equal ranges of host ids, about 16 members each. */
  MemberDigest Digest() const;
  /** The ranges in which a peer's digest differs, neighbours joined, at most
   * aLimit, to be asked for at that peer. */
  std::vector<MemberSnapshotRequest> Differences(const MemberDigest& aPeer,
                                                 std::size_t aLimit) const;
  /** Answers a request, at most aMaxRecords (or the request's own limit). */
  MemberSnapshot Snapshot(const MemberSnapshotRequest& aRequest,
                          std::size_t aMaxRecords, Time aNow) const;

  /** All records of a service, those gone too, and their hash: what an agent
   * is sent when its hash differs. */
  MemberDelta ServiceDelta(ServiceId aService, Time aNow) const;
  std::uint64_t ServiceDigest(ServiceId aService) const;

  /** Most of the fleet is silent: this process is itself cut off. It declares
   * nobody dead and spreads no suspicion until it hears again. */
  bool IsIsolated() const { return mIsolated; }
  std::uint64_t Version() const { return mVersion; }
  /** Members in view. */
  std::size_t Size() const { return mEntries.size() - mGone.size(); }
  /** Members in view whose silence this table judges, without those whose
   * silence it forgives now. */
  std::size_t Judged() const { return mHeard.size() + mSilent.size(); }
  std::size_t Tombstones() const { return mGone.size(); }
  std::uint64_t Count(MemberEvent aEvent) const;

private:
  struct ServiceState
  {
    std::map<HostId, MemberEntry*> mEntries;
    std::uint64_t mVersion = 0;
    bool mChanged = false;
    mutable MemberViewPtr mView;
    /** Asked for with each heartbeat, and made anew only after a change. */
    mutable std::optional<std::uint64_t> mDigest;
  };

  MemberEntry* Find(HostId aHost);
  /** Merges a record; true if it was allowed and changed the table. */
  bool Merge(const MemberRecord& aRecord, Time aNow);
  bool Insert(const MemberRecord& aRecord, Time aNow);
  bool Update(MemberEntry& aEntry, const MemberRecord& aFrom, Time aNow);
  std::vector<MemberRecord> MergeAll(std::span<const MemberRecord> aRecords,
                                     std::uint64_t aVersion, Time aNow);
  bool IsRefused(const MemberRecord& aRecord);
  bool IsDeathHeld(const MemberEntry& aEntry, const MemberRecord& aFrom,
                   Time aNow);
  void Refute(MemberEntry& aEntry, const MemberRecord& aFrom);
  void Place(MemberEntry& aEntry, Time aNow);
  void Watch(MemberEntry& aEntry, Time aNow);
  void Unwatch(MemberEntry& aEntry);
  SilenceList& ListOf(const MemberEntry& aEntry);
  void MoveOverdue(SilenceList& aList, Duration aAfter, Time aNow);
  void Judge(MemberEntry& aEntry, Verdict aVerdict, Time aNow);
  void CollectSilent(Time aNow);
  void UpdateIsolation(Time aNow);
  void RaiseSuspicions(Time aNow);
  void DeclareDeaths(Time aNow);
  std::size_t FreshlyDead(Time aNow, bool aJudgedHereOnly) const;
  std::size_t DeathCap(std::size_t aMembers) const;
  void MoveSlowStarts(Time aNow);
  void ExpireTombstones(Time aNow);
  void Erase(MemberEntry& aEntry);
  void MarkChanged(MemberEntry& aEntry);
  void MarkForPeers(MemberEntry& aEntry);
  /** Stamps what changed since the last call with a new version. */
  void CloseEvent(std::uint64_t aPeerVersion = 0);
  MemberViewPtr Build(const ServiceState& aState) const;
  std::uint16_t StepOf(const MemberEntry& aEntry, Time aNow) const;
  MemberRecord Export(const MemberEntry& aEntry, Time aNow) const;
  void Bump(MemberEvent aEvent) { ++mCounts[static_cast<std::size_t>(aEvent)]; }

  const MemberTableId mId;
  const InventoryCheck& mCheck;
  const MemberTableOptions mOptions;
  std::uint64_t mVersion = 0;
  bool mIsolated = false;
  std::function<bool(const Member&)> mIsMonitor;
  std::array<std::uint64_t, static_cast<std::size_t>(MemberEvent::Last) + 1>
    mCounts{};
  std::map<HostId, MemberEntry> mEntries;
  std::unordered_map<ServiceId, ServiceState> mServices;
  /** Services changed since the last CloseEvent, and since the last
   * TakeChangedServices. */
  std::vector<ServiceId> mTouched;
  std::vector<ServiceId> mChangedServices;
  /** Hosts changed since the last TakeNews. */
  std::set<HostId> mNews;
  /** Watched members by the time they were heard, those never heard here by
   * the time their silence began, and those overdue. */
  SilenceList mHeard;
  SilenceList mForgiven;
  SilenceList mSilent;
  ChangeList mChanges;
  StartList mStarting;
  /** Tombstones, oldest first. */
  GoneList mGone;
};

} // namespace heatherplank
