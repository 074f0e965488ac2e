#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/RecordReplicas.h"
#include "src/steer/HintCache.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** Decides which records of flows' hosts a balancer sends to the record
 * replicas of the flows, and when. A record is a hint: losing one costs a
 * query, a wrong one a hop.
 *
 * Guards against: the fabric moves the flows of a balancer that is stopped,
 * killed or added, and the balancers that receive them do not know their hosts.
 * Querying the hosts for each flow costs dozens of messages; asking a replica
 * costs one.
 *
 * No I/O or clock access; not thread safe. */
class FlowLocations
{
public:
  /** A record is sent this long after the flow's host was learnt, so that flows
   * of one request, which end earlier, cause no record. */
  static constexpr Duration kRecordDelay = std::chrono::milliseconds(500);
  /** A replica gets at most one message per interval from this balancer. */
  static constexpr Duration kMessageInterval = std::chrono::milliseconds(250);
  /** Maximum number of records that wait for kRecordDelay, and of those that
   * wait for the next message: some 0.4 MB. Further ones are dropped. */
  static constexpr std::size_t kMaxPending = 4096;
  /** Maximum number of hints scanned per tick after a change of balancers. */
  static constexpr std::size_t kMaxScannedPerTick = 4096;
  /** Maximum number of balancers ranked per tick by the scan. In a data centre
   * of 200 balancers a hint costs as much as 65 hints among three. */
  static constexpr std::size_t kMaxRankedPerTick = 32768;
  /** Maximum number of records that the scan may have waiting: half a second of
   * kMoveBytesPerSecond. The scan continues when they were sent. */
  static constexpr std::size_t kMaxMoved = 256;
  /** Budget for the records that are sent because of a change of balancers: a
   * third of the control traffic that a node may send. */
  static constexpr std::size_t kMoveBytesPerSecond = 8192;
  /** Budget for the records that one replica gets from all balancers together
   * because of a change. Each sends its share, so that a balancer that joins
   * many others gets no more control traffic than one that joins two. */
  static constexpr std::size_t kMoveBytesPerReplica = 16384;
  /** Size of a record in a message. */
  static constexpr std::size_t kRecordBytes = 16;
  /** Size of a message of records without the records: the headers of the
   * network (28 bytes), of the datagram and of its payload. */
  static constexpr std::size_t kMessageOverhead = 72;

  /** Records to be sent to a replica. */
  struct Batch
  {
    Address mReplica;
    FlowRecords mRecords;
  };

  /** aSelf: this balancer. */
  explicit FlowLocations(const Member& aSelf);

  /** Sets the other balancers in view, of any data centre. After a change, the
   * hints of flows with a new replica are sent to that replica by OnTick(). */
  void SetBalancers(std::span<const Member> aOthers);

  /** Tunnel addresses of a flow's replicas other than this balancer, best
   * first. */
  std::vector<Address> ReplicasOf(std::uint64_t aFlowHash) const;

  /** The host of a flow was learnt from its agent. */
  void OnHostLearnt(const FlowRecord& aRecord, Time aNow);

  /** The caller has closed or reset the flow: a pending record is dropped. */
  void OnFlowEnded(std::uint64_t aFlowHash) { mPending.erase(aFlowHash); }

  /** Returns the records that are due. Call about every 50 ms; aHints, which
   * holds packed FlowHints, must be the same object in every call. The hints of
   * ended flows are not sent after a change of balancers. */
  std::vector<Batch> OnTick(const HintCache& aHints, Time aNow);

  /** Number of records that are held in memory. */
  std::size_t Size() const { return mPending.size() + mDueTotal + mMovedTotal; }

  /** Number of records dropped because too many were waiting. */
  std::uint64_t Dropped() const { return mDropped; }

  /** Whether the scan after the last change of balancers is still running. */
  bool IsScanning() const { return mIsScanning; }

private:
  struct Pending
  {
    HostId mHost;
    Time mDueAt;
  };
  /** Records that wait for the next message to a replica. */
  struct Outbox
  {
    std::deque<FlowRecord> mDue;
    /** Sent because of a change of balancers. */
    std::deque<FlowRecord> mMoved;
    Time mSentAt{};
    /** When the replica may get records of mMoved again. */
    Time mNextMovedAt{};
  };

  bool IsSelf(const RecordReplica& aReplica) const
  {
    return aReplica.mHost == mSelf.mHost;
  }
  void QueueDue(Time aNow);
  void QueueFor(const RecordReplica& aReplica, const FlowRecord& aRecord);
  void Scan(const HintCache& aHints);
  std::size_t SetsPerTick() const;
  void QueueMoved(const FlowRecord& aRecord);
  FlowRecords TakeBatch(Outbox& aOutbox, Time aNow);
  void TakeMoved(Outbox& aOutbox, FlowRecords& aBatch, Time aNow);
  void RemoveOutboxes();

  const Member mSelf;
  RecordReplicas mReplicas;
  /** The replicas before the changes for which the scan runs. */
  RecordReplicas mBefore;
  std::unordered_map<std::uint64_t, Pending> mPending;
  /** Pending records in the order of their time. Entries without a pending
   * record of the same time are skipped. */
  std::deque<std::pair<Time, std::uint64_t>> mByDueAt;
  std::map<HostId, Outbox> mOutboxes;
  std::size_t mDueTotal = 0;
  std::size_t mMovedTotal = 0;
  std::uint64_t mDropped = 0;
  bool mIsScanning = false;
  /** The next set of hints to be scanned, and how many have been. */
  std::size_t mNextSet = 0;
  std::size_t mScannedSets = 0;
  /** Bytes that may be sent at once because of a change of balancers. */
  double mMoveBytes = 0;
  Time mMoveBytesAt{};
};

} // namespace heatherplank
