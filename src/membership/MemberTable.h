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

/** Checks against the inventory which host may announce which service. */
class InventoryCheck
{
public:
  virtual ~InventoryCheck() = default;

  /** True if the inventory assigns the member's service to its host. Called
   * while the table's owner may hold a lock. */
  virtual bool Allows(const Member& aMember) const = 0;
};

/** A counted event of a table. */
enum class MemberEvent : std::uint8_t
{
  HeartbeatAccepted,
  /** A heartbeat that is a duplicate, late or of an old incarnation. */
  HeartbeatStale,
  /** The inventory does not assign the service to the host. */
  RefusedByInventory,
  Suspected,
  DeclaredDead,
  /** A peer's suspicion or declared death is based on an older heartbeat. */
  Refuted,
  /** A death reported by a peer was ignored because of the cap. */
  DeathHeldByCap,
  Left,
  TombstoneExpired,
  TombstoneEvicted,
  Last = TombstoneEvicted,
};

/** The name of an event, as used in counters. */
std::string_view ToString(MemberEvent aEvent);

struct MemberTableOptions
{
  /** A member is suspected if no heartbeat arrives for this long: three
   * intervals of 500 ms, so that one lost datagram raises no suspicion. */
  Duration mSuspectTimeout = std::chrono::milliseconds(1500);
  /** A suspected member is declared dead unless refuted within this time. */
  Duration mRefutationTimeout = std::chrono::milliseconds(1500);
  /** Added to mSuspectTimeout for members that have sent this process no
   * heartbeat since monitoring began: they may not know yet that it monitors
   * them. */
  Duration mNewMonitorGracePeriod = std::chrono::seconds(3);
  /** If more than this fraction of the monitored members are unresponsive or
   * were recently declared dead here, the process counts as isolated and
   * declares no deaths. A death reported by a peer is ignored if recent deaths
   * would exceed this fraction of all members. One death is always allowed. */
  double mMaxDeadFraction = 0.5;
  /** A death counts against the cap for this long. */
  Duration mRecentDeathWindow = std::chrono::seconds(30);
  /** Enables the cap on deaths. If false, any number may be declared dead. */
  bool mCapDeaths = true;
  /** False where other processes detect failures (in agents). */
  bool mDetectsFailures = true;
  /** Time over which the weight grows from the first step to its full value. 0
   * gives full weight from the start, also to cold hosts. */
  Duration mSlowStartDuration = std::chrono::seconds(10);
  std::uint16_t mSlowStartSteps = 5;
  /** How long the record of a host that left or died is retained. Longer than a
   * network partition between regions, since a peer with stale records may
   * report the host until the partition ends. */
  Duration mTombstoneTtl = std::chrono::minutes(10);
  std::size_t mMaxTombstones = 8192;
};

/** An immutable list of the live members of a service. In the table of hosts it
 * also contains hosts in state Leaving. */
struct MemberView
{
  /** A Lamport clock, which orders views without consensus. A view built with
   * knowledge of another has at least its version; two views built
   * independently may have the same version. */
  std::uint64_t mVersion = 0;
  /** Ordered by host id. The weight is reduced during slow start, and is never
   * 0. */
  std::vector<Member> mMembers;
  /** Hosts in mMembers that are suspected. */
  std::vector<HostId> mSuspects;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

/** The soft state of membership: in balancers, which detect failures, and in
 * agents, for their own service only. No I/O or clock access. Not thread safe;
 * the views that it returns are, and may outlive it.
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

  /** Merges a heartbeat received directly from the member. Returns false if the
   * inventory refuses the member. */
  bool OnHeartbeat(const Heartbeat& aHeartbeat, Time aNow);

  /** Merges records from a peer and returns those that changed the table, which
   * are forwarded along a dissemination tree. A suspicion older than the
   * heartbeat known here is refuted by the record that TakePeerChanges returns.
   */
  std::vector<MemberRecord> OnDelta(const MemberDelta& aDelta, Time aNow);
  /** Like OnDelta, but ignores tombstones of hosts unknown here. Otherwise
   * repair would exchange tombstones indefinitely. HasRecentDeath() takes them
   * into account. */
  void OnSnapshot(const MemberSnapshot& aSnapshot, Time aNow);
  /** Merges a MemberDelta that a peer's ServiceDelta returned. Members of the
   * service that it lacks are dropped if their last known heartbeat is at least
   * aUnlistedTimeout old. */
  void OnServiceDelta(ServiceId aService, const MemberDelta& aDelta,
                      Duration aUnlistedTimeout, Time aNow);

  /** Detects failures, advances slow starts and expires tombstones. Call a few
   * times a second; the cost depends on what is due, not on the number of
   * members. */
  void OnTick(Time aNow);

  /** Selects the members that this table monitors; all by default. A balancer
   * receives no heartbeats from hosts that it doesn't monitor, and must not
   * suspect them. Call again when the balancers changed. */
  void SetMonitored(const std::function<bool(const Member&)>& aIsMonitoredHere,
                    Time aNow);

  /** Returns up to aLimit members suspected by this table, the longest
   * unresponsive first; none while isolated. */
  std::vector<Member> Suspected(std::size_t aLimit) const;
  /** Returns up to aCount randomly chosen members in view. */
  std::vector<Member> Sample(std::size_t aCount,
                             std::mt19937_64& aRandom) const;

  /** Applies the inventory again after it changed: drops refused members. */
  void Recheck(Time aNow);

  /** Returns the record of a host; nullopt if the host is unknown. */
  std::optional<MemberRecord> Find(HostId aHost, Time aNow) const;

  /** Returns the view of a service; empty if it has no members. */
  MemberViewPtr View(ServiceId aService) const;
  /** Returns the services whose view changed since the last call. */
  std::vector<ServiceId> TakeChangedServices();

  /** Returns up to aLimit records to send to peers, oldest change first, each
   * host once with its latest record. */
  std::vector<MemberRecord> TakePeerChanges(std::size_t aLimit, Time aNow);

  /** Returns the records that changed in the view since the last call, from any
   * source; they are sent to the agents that this balancer monitors. */
  std::vector<MemberRecord> TakeViewChanges(Time aNow);

  /** Returns hashes of equal ranges of host ids, about 16 members each. */
  MemberDigest Digest() const;
  /** Returns requests to a peer for up to aLimit ranges in which its digest
   * differs; adjacent ranges are joined. */
  std::vector<MemberSnapshotRequest> Differences(const MemberDigest& aPeer,
                                                 std::size_t aLimit) const;
  /** Answers a request with at most aMaxRecords records, or the request's limit
   * if lower. */
  MemberSnapshot Snapshot(const MemberSnapshotRequest& aRequest,
                          std::size_t aMaxRecords, Time aNow) const;

  /** Returns all records of a service, including tombstones. Sent to an agent
   * whose ServiceDigest differs. */
  MemberDelta ServiceDelta(ServiceId aService, Time aNow) const;
  /** Returns a hash of the members of a service, without tombstones. */
  std::uint64_t ServiceDigest(ServiceId aService) const;

  /** True if so many members are unresponsive that this process itself is taken
   * to be isolated. It then raises no suspicion and declares no deaths until
   * heartbeats arrive again. */
  bool IsIsolated() const { return mIsolated; }
  std::uint64_t Version() const { return mVersion; }
  /** Number of members in view. */
  std::size_t Size() const { return mEntries.size() - mGone.size(); }
  /** Number of members in view that this table monitors, without those in their
   * grace period. */
  std::size_t MonitoredCount() const
  {
    return mResponsive.size() + mUnresponsive.size();
  }
  std::size_t Tombstones() const { return mGone.size(); }
  /** Whether a member was declared dead within aWithin and is not in view
   * again, as far as this table and the snapshots of its peers tell. Its host
   * may be alive behind a network partition. */
  bool HasRecentDeath(Duration aWithin, Time aNow) const;
  std::uint64_t Count(MemberEvent aEvent) const;

private:
  struct ServiceState
  {
    std::map<HostId, MemberEntry*> mEntries;
    std::uint64_t mVersion = 0;
    bool mChanged = false;
    mutable MemberViewPtr mView;
    /** Needed for each heartbeat; computed again only after a change. */
    mutable std::optional<std::uint64_t> mDigest;
  };

  MemberEntry* Find(HostId aHost);
  /** Merges a record; returns true if it changed the table. */
  bool Merge(const MemberRecord& aRecord, Time aNow);
  bool Insert(const MemberRecord& aRecord, Time aNow);
  bool Update(MemberEntry& aEntry, const MemberRecord& aFrom, Time aNow);
  std::vector<MemberRecord> MergeAll(std::span<const MemberRecord> aRecords,
                                     std::uint64_t aVersion, Time aNow);
  bool IsRefused(const MemberRecord& aRecord);
  bool ExceedsDeathCap(const MemberEntry& aEntry, const MemberRecord& aFrom,
                       Time aNow);
  void RefuteStaleVerdict(MemberEntry& aEntry, const MemberRecord& aFrom);
  void UpdateLists(MemberEntry& aEntry, Time aNow);
  void StartMonitoring(MemberEntry& aEntry, Time aNow);
  void StopMonitoring(MemberEntry& aEntry);
  MonitorList& ListOf(const MemberEntry& aEntry);
  void MoveOverdue(MonitorList& aList, Duration aTimeout, Time aNow);
  void SetLocalVerdict(MemberEntry& aEntry, Verdict aVerdict, Time aNow);
  void CollectUnresponsive(Time aNow);
  void UpdateIsolation(Time aNow);
  void RaiseSuspicions(Time aNow);
  void DeclareDeaths(Time aNow);
  std::size_t CountRecentDeaths(Time aNow, bool aLocalOnly) const;
  std::size_t DeathCap(std::size_t aMembers) const;
  void AdvanceSlowStarts(Time aNow);
  void ExpireTombstones(Time aNow);
  void RecordReportedDeath(HostId aHost, Time aNow);
  void Erase(MemberEntry& aEntry);
  void MarkChanged(MemberEntry& aEntry);
  void MarkForPeers(MemberEntry& aEntry);
  /** Assigns a new version to the changes since the last call. */
  void CommitChanges(std::uint64_t aPeerVersion = 0);
  MemberViewPtr Build(const ServiceState& aState) const;
  std::uint16_t SlowStartStepOf(const MemberEntry& aEntry, Time aNow) const;
  MemberRecord Export(const MemberEntry& aEntry, Time aNow) const;
  void CountEvent(MemberEvent aEvent)
  {
    ++mCounts[static_cast<std::size_t>(aEvent)];
  }

  const MemberTableId mId;
  const InventoryCheck& mCheck;
  const MemberTableOptions mOptions;
  std::uint64_t mVersion = 0;
  bool mIsolated = false;
  std::function<bool(const Member&)> mIsMonitoredHere;
  std::array<std::uint64_t, static_cast<std::size_t>(MemberEvent::Last) + 1>
    mCounts{};
  std::map<HostId, MemberEntry> mEntries;
  std::unordered_map<ServiceId, ServiceState> mServices;
  /** Services changed since the last CommitChanges, and since the last
   * TakeChangedServices. */
  std::vector<ServiceId> mUncommittedServices;
  std::vector<ServiceId> mChangedServices;
  /** Hosts changed since the last TakeViewChanges. */
  std::set<HostId> mChangedHosts;
  /** Monitored members: those with recent heartbeats, ordered by the last one;
   * those in their grace period, ordered by its start; and those overdue. */
  MonitorList mResponsive;
  MonitorList mInGracePeriod;
  MonitorList mUnresponsive;
  PeerChangeList mPeerChanges;
  SlowStartList mSlowStarting;
  /** Tombstones, oldest first. */
  GoneList mGone;
  /** Hosts unknown here that a snapshot reported as dead, and when it first
   * did; bounded by mMaxTombstones. */
  std::unordered_map<HostId, Time> mReportedDeaths;
  /** A death was reported that mReportedDeaths has no room for. */
  Time mUnlistedDeathAt{};
};

} // namespace heatherplank
