#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Whether the balancers consider a member alive. */
enum class Verdict : std::uint8_t
{
  Alive = 0,
  /** Heartbeats are missing; still in the view, and may be refuted. */
  Suspect = 1,
  /** Not in the view until a newer record arrives. */
  Dead = 2,
};

/** The table that a message refers to. */
enum class MemberTableId : std::uint8_t
{
  Hosts = 0,
  Balancers = 1,
};

/** What is known of a member. Records of one host form a join semilattice:
 * merging is commutative, associative and idempotent, so tables that received
 * the same records in any order hold the same contents.
 */
struct MemberRecord
{
  Member mMember;
  /** Counts changes of slots, weight or addresses within a state. */
  std::uint32_t mRevision = 0;
  /** Number of the latest known heartbeat, assigned by the host. Used instead
   * of a time, since the clocks of two machines can't be compared. */
  std::uint32_t mHeartbeatNumber = 0;
  /** The conclusion drawn from missing heartbeats after mHeartbeatNumber. */
  Verdict mVerdict = Verdict::Alive;
  /** How long the host had served at sending; not the age of the record. */
  Duration mAge{};

  bool operator==(const MemberRecord&) const = default;
};

/** Service digest of an agent that does not want the members of its service. */
constexpr std::uint64_t kWantsNoPeers = 0;

/** What an agent's choice of monitors is based on. */
enum class MonitorSource : std::uint8_t
{
  /** The list of all balancers, from which it chooses by the rule. */
  AllBalancers = 0,
  /** It accepts an assignment of monitors, but has none. */
  None = 1,
  /** An assignment by a balancer that may not know all others. */
  Provisional = 2,
  Assigned = 3,
  Last = Assigned,
};

struct Heartbeat
{
  MemberTableId mTable = MemberTableId::Hosts;
  MemberRecord mRecord;
  /** Highest view version known to the sender. Preserves the version when all
   * balancers restart. */
  std::uint64_t mVersion = 0;
  /** MemberTable::ServiceDigest of the sender's service, or kWantsNoPeers. */
  std::uint64_t mServiceDigest = 0;
  /** MemberTable::ServiceDigest of the balancers known to the sender, or
   * MonitorAssignment::Digest; 0 for none. */
  std::uint64_t mBalancerDigest = 0;
  MonitorSource mMonitorSource = MonitorSource::AllBalancers;
};

/** No dissemination tree: the receiver doesn't forward the records. */
constexpr std::uint8_t kNoTree = 255;

struct MemberDelta
{
  MemberTableId mTable = MemberTableId::Hosts;
  std::uint64_t mVersion = 0;
  std::uint8_t mTree = kNoTree;
  /** The records are all those of their service that the sender holds. */
  bool mIsComplete = false;
  std::vector<MemberRecord> mRecords;
  /** In the answer to a heartbeat, the number of that heartbeat, from which its
   * sender finds when it was sent; 0 in an unsolicited delta. */
  std::uint32_t mAnswersHeartbeat = 0;
  /** Requests a heartbeat from the receiver. The sender's record is then the
   * only one. */
  bool mRequestsHeartbeat = false;
  /** If not 0, the records are an assignment to the receiver, an agent: this
   * many monitors, then spares (MonitorAssignment). */
  std::uint8_t mAssignedMonitors = 0;
  /** The sender of the assignment may not know all balancers yet. */
  bool mIsProvisional = false;
};

struct MemberDigest
{
  MemberTableId mTable = MemberTableId::Hosts;
  /** The balancer that sent it. */
  HostId mFrom;
  /** This is the reply to a digest, and is not replied to. */
  bool mIsReply = false;
  std::uint64_t mVersion = 0;
  /** Hashes of equal ranges of host ids; their number is a power of two. */
  std::vector<std::uint64_t> mHashes;
};

struct MemberSnapshotRequest
{
  MemberTableId mTable = MemberTableId::Hosts;
  HostId mFrom;
  /** The requested range, both ends included. */
  HostId mFirst;
  HostId mLast{ UINT64_MAX };
  std::uint32_t mMaxRecords = 0;
};

struct MemberSnapshot
{
  MemberTableId mTable = MemberTableId::Hosts;
  HostId mFrom;
  std::uint64_t mVersion = 0;
  /** The range that the records cover completely; shorter than requested if the
   * record limit was reached. */
  HostId mFirst;
  HostId mLast;
  std::vector<MemberRecord> mRecords;
  /** The sender is still starting, and may not know all members in the range.
   */
  bool mIsPartial = false;
};

using MembershipMessage = std::variant<Heartbeat, MemberDelta, MemberDigest,
                                       MemberSnapshotRequest, MemberSnapshot>;

} // namespace heatherplank
