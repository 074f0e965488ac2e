#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/container/static_vector.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/steer/RankTable.h"

namespace heatherplank {

/** Default number of candidates for the placement of a new flow. */
constexpr std::size_t kCandidates = 4;

/** Members in rendezvous rank order; valid while the view exists. */
using RankedMembers =
  boost::container::static_vector<const Member*, kRankDepth>;

/** The live members of one service as one process sees them. Immutable and
 * thread safe; shared by reference count.
 *
 * The rendezvous score of a member for a flow depends only on the flow, the
 * member's host id and its weight. Two views with different members therefore
 * agree on the order of the members that both contain.
 */
class ServiceView
  : public boost::intrusive_ref_counter<ServiceView, boost::thread_safe_counter>
{
public:
  ServiceView(ServiceId aService, std::uint64_t aVersion,
              std::vector<Member> aMembers, std::size_t aScanLimit);

  ServiceId Service() const { return mService; }

  /** MemberView::mVersion, a Lamport clock: a view built with knowledge of
   * another has at least its version. Views of the same version may differ, in
   * different processes or after a change of the drains. */
  std::uint64_t Version() const { return mVersion; }

  /** All members, ordered by host. */
  std::span<const Member> Members() const { return mMembers; }

  /** The member of a host, or null. */
  const Member* Find(HostId aHost) const;

  /** The best kRankDepth members that may own a flow, including draining ones:
   * the members to query for its owner.
   */
  RankedMembers Ranked(std::uint64_t aFlowHash) const;

  /** The best aCount members that may own a flow, without the limit of
   * kRankDepth. Scans all members. */
  std::vector<const Member*> RankedByScan(std::uint64_t aFlowHash,
                                          std::size_t aCount) const;

  /** The best aCount members that may adopt a new flow; empty if none may.
   * Precondition: aCount <= kRankDepth.
   */
  RankedMembers Candidates(std::uint64_t aFlowHash,
                           std::size_t aCount = kCandidates) const;

  /** The first of Candidates, or null if there is none. The arbiter places the
   * flow if no host owns it.
   */
  const Member* Arbiter(std::uint64_t aFlowHash) const;

  /** Bytes that the view uses, including its members and rank table. */
  std::size_t MemoryUse() const;

private:
  ServiceId mService;
  std::uint64_t mVersion;
  std::vector<Member> mMembers;
  RankTable mRanks;
};

using ServiceViewPtr = boost::intrusive_ptr<const ServiceView>;

/** True if a member in this state may adopt a new flow. */
inline bool CanAdopt(const Member& aMember)
{
  return aMember.mState == HostState::Cold ||
         aMember.mState == HostState::Serving;
}

/** Creates a view of one service's members. A leaving member is returned by
 * Find but never ranked, since it owns no flow. Preconditions: at most 65,535
 * members, no duplicate host, no weight of 0.
 */
ServiceViewPtr MakeServiceView(ServiceId aService, std::uint64_t aVersion,
                               std::vector<Member> aMembers,
                               std::size_t aScanLimit = RankTable::kScanLimit);

} // namespace heatherplank
