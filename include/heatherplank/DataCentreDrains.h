#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The data centres that the operator drains: their hosts keep existing flows
 * and receive no new ones. Concurrent reads are thread safe. */
struct DataCentreDrains
{
  /** Store version as of which the list is valid; a list is replaced only by
   * one of a higher version. 0: not known. */
  std::uint64_t mVersion = 0;
  /** In ascending order. */
  std::vector<DataCentreId> mDataCentres;

  bool IsKnown() const { return mVersion != 0; }

  bool Contains(DataCentreId aDataCentre) const
  {
    return std::ranges::binary_search(mDataCentres, aDataCentre);
  }
};

} // namespace heatherplank
