#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The data centres that the operator drains: hosts there keep the flows that
 * they have and are given no new ones. Immutable use is thread safe. */
struct DataCentreDrains
{
  /** The store's version as of which this holds; a higher one replaces a lower
   * one, never back. 0: not known. */
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
