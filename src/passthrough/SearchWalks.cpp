#include "src/passthrough/SearchWalks.h"

#include <algorithm>

namespace heatherplank {

std::vector<SearchWalk> DealWalks(std::span<const Address> aHosts,
                                  std::size_t aCount)
{
  std::size_t count = std::min(aCount, aHosts.size());
  std::vector<SearchWalk> out(count);
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    SearchWalk& walk = out[i % count];
    if (i < count) {
      walk.mFirst = aHosts[i];
    } else {
      walk.mOthers.push_back(aHosts[i]);
    }
  }
  return out;
}

} // namespace heatherplank
