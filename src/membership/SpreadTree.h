#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/membership/MemberRecord.h"

namespace heatherplank {

/** How changes reach all balancers. Few balancers: each tells every other.
 * Many: a change goes to the root of one of several trees, chosen by its host,
 * and down from there, so that over all changes each balancer receives and
 * sends every record about once, and none is a hub. All make the same trees
 * from the same list; where lists differ a record may miss a balancer, which
 * the digest repairs. Not thread safe.
 */
class SpreadTree
{
public:
  static constexpr std::uint8_t kTrees = 16;
  static constexpr std::size_t kFanOut = 4;
  /** Up to this many others are told directly. */
  static constexpr std::size_t kDirect = 16;

  /** Takes the list of balancers anew; aSelf may be among them. */
  void SetBalancers(HostId aSelf, std::span<const Member> aBalancers);

  /** The tree of a host's changes; kNoTree if all are told directly. */
  std::uint8_t TreeOf(HostId aHost) const;
  /** Where this balancer sends changes that it learned itself. */
  const std::vector<Address>& FirstHops(std::uint8_t aTree) const;
  /** Where it passes on what came to it by a tree. */
  const std::vector<Address>& NextHops(std::uint8_t aTree) const;

private:
  struct Tree
  {
    std::vector<Address> mFirst;
    std::vector<Address> mNext;
  };
  Tree MakeTree(std::uint8_t aTree, HostId aSelf,
                std::span<const Member> aBalancers) const;

  bool mIsDirect = true;
  std::vector<Address> mOthers;
  std::vector<Tree> mTrees;
};

} // namespace heatherplank
