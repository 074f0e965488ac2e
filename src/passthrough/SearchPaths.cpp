#include "src/passthrough/SearchPaths.h"

#include <algorithm>

namespace heatherplank {

std::vector<SearchPath> SplitSearch(std::span<const Address> aHosts,
                                    std::size_t aCount)
{
  std::size_t count = std::min(aCount, aHosts.size());
  std::vector<SearchPath> out(count);
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    SearchPath& path = out[i % count];
    if (i < count) {
      path.mFirst = aHosts[i];
    } else {
      path.mOthers.push_back(aHosts[i]);
    }
  }
  return out;
}

} // namespace heatherplank
