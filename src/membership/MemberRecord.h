#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** What the balancers hold of a member's life. */
enum class Verdict : std::uint8_t
{
  Alive = 0,
  /** Not heard for a while; still in the view, and open to refutation. */
  Suspect = 1,
  /** Out of the view until newer evidence comes. */
  Dead = 2,
};

/** Which table a message speaks of. */
enum class MemberTableId : std::uint8_t
{
  Hosts = 0,
  Balancers = 1,
};

/** The service under which balancers are members of their own table. */
ServiceId BalancerService();

/** What is known of a member. Records of one host form a join semilattice: any
 * two have a join, and merging is commutative, associative and idempotent, so
 * tables that saw the same records in any order hold the same.
 */
struct MemberRecord
{
  Member mMember;
  /** Counts changes of slots, weight or addresses within a state. */
  std::uint32_t mRevision = 0;
  /** The latest heartbeat known, counted by the host itself. It takes the
   * place of a time, which two machines could not compare. */
  std::uint32_t mBeat = 0;
  /** What was concluded from silence after mBeat. */
  Verdict mVerdict = Verdict::Alive;
  /** How long the host has served, by its own clock, when sent. */
  Duration mAge{};

  bool operator==(const MemberRecord&) const = default;
};

/** Merges aFrom into aInto, both of one host. A newer incarnation replaces all.
 * Within one, a later state or revision replaces the content, and the later
 * beat (at the same beat the graver verdict) replaces the verdict. Gives true
 * if aInto changed in more than its beat. Thread safe.
 */
bool MergeRecord(MemberRecord& aInto, const MemberRecord& aFrom);

/** Hash of what a view shows of a record. Left out are beat, age and suspicion,
 * which differ between tables at rest. */
std::uint64_t HashRecord(const MemberRecord& aRecord);

/** Service digest of an agent that holds no peers, and is to be sent none. */
constexpr std::uint64_t kWantsNoPeers = 0;

struct Heartbeat
{
  MemberTableId mTable = MemberTableId::Hosts;
  MemberRecord mRecord;
  /** Highest view version that the sender has seen. It carries the version
   * over a restart of all balancers. */
  std::uint64_t mVersion = 0;
  /** MemberTable::ServiceDigest of the sender's own service, or
   * kWantsNoPeers. */
  std::uint64_t mServiceDigest = 0;
  /** MemberTable::ServiceDigest of the balancers it knows, or 0. */
  std::uint64_t mBalancerDigest = 0;
};

/** No spreading tree: the receiver passes the records on to nobody. */
constexpr std::uint8_t kNoTree = 255;

struct MemberDelta
{
  MemberTableId mTable = MemberTableId::Hosts;
  std::uint64_t mVersion = 0;
  std::uint8_t mTree = kNoTree;
  /** The records are all that the sender holds of their service. */
  bool mIsComplete = false;
  std::vector<MemberRecord> mRecords;
  /** In the answer to a heartbeat: its beat, by which the sender knows when it
   * was sent; 0 in what was not asked for. */
  std::uint32_t mAnswersBeat = 0;
  /** The sender misses the receiver's heartbeats and asks for one; its own
   * record is the only one. */
  bool mAsks = false;
};

struct MemberDigest
{
  MemberTableId mTable = MemberTableId::Hosts;
  /** The balancer that sent it. */
  HostId mFrom;
  /** It answers a digest, and wants none in return. */
  bool mIsReply = false;
  std::uint64_t mVersion = 0;
  /** One hash for each of equal ranges of host ids; a power of two of them. */
  std::vector<std::uint64_t> mHashes;
};

struct MemberSnapshotRequest
{
  MemberTableId mTable = MemberTableId::Hosts;
  HostId mFrom;
  /** The range asked for, both ends included. */
  HostId mFirst;
  HostId mLast{ UINT64_MAX };
  std::uint32_t mMaxRecords = 0;
};

struct MemberSnapshot
{
  MemberTableId mTable = MemberTableId::Hosts;
  HostId mFrom;
  std::uint64_t mVersion = 0;
  /** The range that the records cover whole; shorter than asked for if the
   * limit was reached. */
  HostId mFirst;
  HostId mLast;
  std::vector<MemberRecord> mRecords;
};

} // namespace heatherplank
