#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

/** Disseminates changes to all balancers. With few balancers, each sends its
 * changes to every other. With many, a change is sent to the root of one of
 * several trees, chosen by its host, and forwarded down from there: averaged
 * over all changes, each balancer receives and sends every record about once,
 * and none is a hub. All balancers build the same trees from the same list; if
 * lists differ a record may not reach a balancer, which digests repair. Not
 * thread safe.
 */
class DisseminationTree
{
public:
  static constexpr std::uint8_t kTrees = 16;
  static constexpr std::size_t kFanOut = 4;
  /** Changes are sent directly if there are at most this many others. */
  static constexpr std::size_t kMaxDirectPeers = 16;

  /** Replaces the list of balancers, which may contain aSelf. */
  void SetBalancers(HostId aSelf, std::span<const Member> aBalancers);

  /** The tree for a host's changes; kNoTree if changes are sent directly. */
  std::uint8_t TreeOf(HostId aHost) const;
  /** Receivers of changes that this balancer originates. */
  const std::vector<Address>& FirstHops(std::uint8_t aTree) const;
  /** Receivers to which changes received along a tree are forwarded. */
  const std::vector<Address>& NextHops(std::uint8_t aTree) const;

private:
  struct Tree
  {
    std::vector<Address> mFirstHops;
    std::vector<Address> mNextHops;
  };
  Tree MakeTree(std::uint8_t aTree, HostId aSelf,
                std::span<const Member> aBalancers) const;

  bool mIsDirect = true;
  std::vector<Address> mPeerAddresses;
  std::vector<Tree> mTrees;
};

} // namespace heatherplank
