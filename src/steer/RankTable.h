#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Member.h"

namespace heatherplank {

/** Members that a rank table orders for one flow. */
constexpr std::size_t kRankDepth = 8;

/** Positions in the member array, best first. */
using Ranks = boost::container::static_vector<std::uint16_t, kRankDepth>;

/** Orders members for a flow by weighted rendezvous hash (XXH3): each member
 * draws an exponentially distributed time, the earliest is best.
 *
 * Up to a limit of members every draw is made anew. Above that a scan would
 * cost microseconds, so flows fall into buckets whose order was worked out
 * when the view was made. A member's draws over all buckets form a Poisson
 * process; drawing its earliest points only, instead of one time a bucket,
 * gives the same distribution at a cost that does not grow with the members.
 *
 * Immutable and thread safe; the members must outlive it, unchanged.
 */
class RankTable
{
public:
  /** Most members that are ranked by a scan. */
  static constexpr std::size_t kScanLimit = 32;

  /** Precondition: aMembers is ordered by host, each weight above 0. Up to
   * aScanLimit members are ranked by a scan: for users that rank few flows a
   * second, but see many changes, at each of which the buckets cost 24 ms. */
  explicit RankTable(std::span<const Member> aMembers,
                     std::size_t aScanLimit = kScanLimit);

  /** The best members that are not leaving, at most kRankDepth. */
  Ranks Best(std::uint64_t aFlowHash) const;

  /** The best aCount of those that can adopt. */
  Ranks BestAdoptable(std::uint64_t aFlowHash, std::size_t aCount) const;

  /** The best aCount that are not leaving, by a scan whatever their number: for
   * searches, which are seldom. Above the scan limit the order differs from
   * that of Best. */
  std::vector<std::uint16_t> BestByScan(std::uint64_t aFlowHash,
                                        std::size_t aCount) const;

  /** The first of BestAdoptable, or kNobody: a balancer needs no more. */
  std::uint16_t First(std::uint64_t aFlowHash) const;

  static constexpr std::uint16_t kNobody = 0xffff;

  /** Bytes of the tables. */
  std::size_t MemoryUse() const;

private:
  using Bucket = std::array<std::uint16_t, kRankDepth>;

  struct Host
  {
    std::uint64_t mHash = 0;
    float mWeight = 0;
    /** Its position in the member array. */
    std::uint16_t mMember = 0;
    bool mAdoptable = false;
  };

  /** The time that a member draws for a flow: the smaller, the better. */
  double Draw(std::uint64_t aFlowHash, const Host& aHost) const;
  Ranks Scan(std::uint64_t aFlowHash, std::size_t aCount,
             bool aAdoptableOnly) const;
  Ranks ToMembers(Ranks aHosts) const;
  const Bucket& BucketOf(std::uint64_t aFlowHash) const;
  void FillBuckets();

  std::vector<Host> mHosts;
  std::vector<Bucket> mBuckets;
  bool mSameWeights = true;
};

} // namespace heatherplank
