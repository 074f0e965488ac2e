#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Member.h"

namespace heatherplank {

/** Number of members that a RankTable ranks per flow. */
constexpr std::size_t kRankDepth = 8;

/** Indices into the member array, best rank first. */
using Ranks = boost::container::static_vector<std::uint16_t, kRankDepth>;

/** Ranks members for a flow by weighted rendezvous hashing (XXH3): each member
 * draws an exponentially distributed time, and the earliest time ranks best.
 *
 * Up to a limit of members, each lookup scans all members. Above the limit a
 * scan would cost microseconds, so flows map to buckets whose order is computed
 * when the view is built. A member's draws over all buckets form a Poisson
 * process; drawing only its earliest points, instead of one time per bucket,
 * gives the same distribution at a cost that does not grow with the number of
 * members.
 *
 * Immutable and thread safe. The members must outlive it, unchanged.
 */
class RankTable
{
public:
  /** Default for the maximum number of members that are ranked by a scan. */
  static constexpr std::size_t kScanLimit = 32;

  /** Ranks up to aScanLimit members by a scan. A high limit suits processes
   * that rank few flows per second but see many view changes, since building
   * the buckets costs 24 ms per view of a large service. Preconditions:
   * aMembers is ordered by host, each weight is above 0. */
  explicit RankTable(std::span<const Member> aMembers,
                     std::size_t aScanLimit = kScanLimit);

  /** The best members that are not leaving, at most kRankDepth. */
  Ranks Best(std::uint64_t aFlowHash) const;

  /** The best aCount members that can adopt a flow; at most kRankDepth. */
  Ranks BestAdoptable(std::uint64_t aFlowHash, std::size_t aCount) const;

  /** The best aCount members that are not leaving, by a scan regardless of
   * their number, for infrequent searches. Above the scan limit the order
   * differs from that of Best. */
  std::vector<std::uint16_t> BestByScan(std::uint64_t aFlowHash,
                                        std::size_t aCount) const;

  /** The first of BestAdoptable, or kNoMember; cheaper for balancers, which
   * need only this one. */
  std::uint16_t First(std::uint64_t aFlowHash) const;

  static constexpr std::uint16_t kNoMember = 0xffff;

  /** Bytes that the tables use. */
  std::size_t MemoryUse() const;

private:
  using Bucket = std::array<std::uint16_t, kRankDepth>;

  struct Host
  {
    std::uint64_t mHash = 0;
    float mWeight = 0;
    /** Index into the member array. */
    std::uint16_t mMember = 0;
    bool mAdoptable = false;
  };

  /** The time that a member draws for a flow; a smaller one ranks better. */
  double Draw(std::uint64_t aFlowHash, const Host& aHost) const;
  Ranks Scan(std::uint64_t aFlowHash, std::size_t aCount,
             bool aAdoptableOnly) const;
  Ranks ToMembers(Ranks aHosts) const;
  const Bucket& BucketOf(std::uint64_t aFlowHash) const;
  void FillBuckets();

  std::vector<Host> mHosts;
  std::vector<Bucket> mBuckets;
  bool mHasEqualWeights = true;
};

} // namespace heatherplank
