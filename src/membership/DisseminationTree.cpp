#include "src/membership/DisseminationTree.h"

#include <algorithm>

namespace heatherplank {

void DisseminationTree::SetBalancers(HostId aSelf,
                                     std::span<const Member> aBalancers)
{
  mPeerAddresses.clear();
  mTrees.clear();
  for (const Member& it : aBalancers) {
    if (it.mHost != aSelf) {
      mPeerAddresses.push_back(it.mControl);
    }
  }
  mIsDirect = mPeerAddresses.size() <= kMaxDirectPeers;
  for (std::uint8_t i = 0; i < kTrees && !mIsDirect; ++i) {
    mTrees.push_back(MakeTree(i, aSelf, aBalancers));
  }
}

DisseminationTree::Tree DisseminationTree::MakeTree(
  std::uint8_t aTree, HostId aSelf, std::span<const Member> aBalancers) const
{
  std::vector<const Member*> order;
  for (const Member& it : aBalancers) {
    order.push_back(&it);
  }
  std::ranges::sort(order, {}, [aTree](const Member* aMember) {
    return MixHash(aMember->mHost.mValue, aTree);
  });
  Tree tree;
  auto self = std::ranges::find(order, aSelf, &Member::mHost);
  if (self != order.end()) {
    auto at = static_cast<std::size_t>(self - order.begin());
    for (std::size_t i = 1; i <= kFanOut; ++i) {
      std::size_t child = at * kFanOut + i;
      if (child < order.size()) {
        tree.mNextHops.push_back(order[child]->mControl);
      }
    }
  }
  bool isRoot = order.front()->mHost == aSelf;
  tree.mFirstHops =
    isRoot ? tree.mNextHops : std::vector<Address>{ order.front()->mControl };
  return tree;
}

std::uint8_t DisseminationTree::TreeOf(HostId aHost) const
{
  return mIsDirect ? kNoTree : static_cast<std::uint8_t>(aHost.mValue % kTrees);
}

const std::vector<Address>& DisseminationTree::FirstHops(
  std::uint8_t aTree) const
{
  return mIsDirect || aTree >= mTrees.size() ? mPeerAddresses
                                             : mTrees[aTree].mFirstHops;
}

const std::vector<Address>& DisseminationTree::NextHops(
  std::uint8_t aTree) const
{
  static const std::vector<Address> kNone;
  return aTree >= mTrees.size() ? kNone : mTrees[aTree].mNextHops;
}

} // namespace heatherplank
