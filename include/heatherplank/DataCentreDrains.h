#pragma once

#include <algorithm>
#include <vector>

#include "include/heatherplank/StoreVersion.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The data centres that the operator drains: their hosts keep existing flows
 * and receive no new ones. Concurrent reads are thread safe. */
struct DataCentreDrains
{
  /** Store version as of which the list is valid; a list is replaced only by
   * one of a higher version. */
  StoreVersion mVersion;
  /** In ascending order. */
  std::vector<DataCentreId> mDataCentres;

  bool IsKnown() const { return mVersion.IsKnown(); }

  bool Contains(DataCentreId aDataCentre) const
  {
    return std::ranges::binary_search(mDataCentres, aDataCentre);
  }
};

} // namespace heatherplank
