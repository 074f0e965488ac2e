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

/** Hosts that a new flow may be placed on. */
constexpr std::size_t kCandidates = 4;

/** Members in the order of their rendezvous rank; valid as long as the view. */
using RankedMembers =
  boost::container::static_vector<const Member*, kRankDepth>;

/** The live members of one service as one process sees them. Immutable, so
 * every method is thread safe; shared by reference count.
 *
 * The rank of a member for a flow depends on the flow, the member's name and
 * its weight alone. Two views that differ in some members therefore agree on
 * the order of those that they share.
 */
class ServiceView
  : public boost::intrusive_ref_counter<ServiceView, boost::thread_safe_counter>
{
public:
  ServiceView(ServiceId aService, std::uint64_t aVersion,
              std::vector<Member> aMembers, std::size_t aScanLimit);

  ServiceId Service() const { return mService; }

  /** Grows with each change that this process saw; not comparable between
   * processes.
   */
  std::uint64_t Version() const { return mVersion; }

  /** All members, ordered by host. */
  std::span<const Member> Members() const { return mMembers; }

  /** The member of a host, or null. */
  const Member* Find(HostId aHost) const;

  /** The best kRankDepth members that may own a flow, draining ones too: who
   * to ask for it.
   */
  RankedMembers Ranked(std::uint64_t aFlowHash) const;

  /** The best aCount members that may own a flow, however many: who to ask when
   * the first ranks do not have it. Costs a scan of all members. */
  std::vector<const Member*> RankedDeep(std::uint64_t aFlowHash,
                                        std::size_t aCount) const;

  /** The best aCount members that may adopt a new flow; empty if none may.
   * Precondition: aCount <= kRankDepth.
   */
  RankedMembers Candidates(std::uint64_t aFlowHash,
                           std::size_t aCount = kCandidates) const;

  /** The first of Candidates, or null: it places the flow's unknown packets.
   */
  const Member* Arbiter(std::uint64_t aFlowHash) const;

  /** Bytes that the view holds, its members and table included. */
  std::size_t MemoryUse() const;

private:
  ServiceId mService;
  std::uint64_t mVersion;
  std::vector<Member> mMembers;
  RankTable mRanks;
};

using ServiceViewPtr = boost::intrusive_ptr<const ServiceView>;

/** True if a member in this state may be given a new flow. */
inline bool CanAdopt(const Member& aMember)
{
  return aMember.mState == HostState::Cold ||
         aMember.mState == HostState::Serving;
}

/** Makes a view of one service's members. A leaving member is found by name but
 * never ranked: it holds nothing, so nobody asks it. Precondition: at most
 * 65,535 members, no host twice, no weight of 0.
 */
ServiceViewPtr MakeServiceView(ServiceId aService, std::uint64_t aVersion,
                               std::vector<Member> aMembers,
                               std::size_t aScanLimit = RankTable::kScanLimit);

} // namespace heatherplank
