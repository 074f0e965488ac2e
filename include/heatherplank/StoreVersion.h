#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherplank {

/** A version of the object store's content.
 *
 * The store increments its revision with each write. When it is restored from
 * an older copy, its era increases, and the revisions that followed the copy
 * are assigned again to other writes. Revisions are therefore comparable only
 * within an era, and any version of a later era is the newer one.
 */
struct StoreVersion
{
  std::uint64_t mRevision = 0;
  /** 0 if the store does not report eras. */
  std::uint64_t mEra = 0;

  /** False for the default value, which stands for "no version". */
  constexpr bool IsKnown() const { return mRevision != 0; }

  /** "ERA.REVISION", for logs. */
  std::string ToString() const
  {
    return std::to_string(mEra) + "." + std::to_string(mRevision);
  }

  friend constexpr bool operator==(const StoreVersion&,
                                   const StoreVersion&) = default;

  friend constexpr std::strong_ordering operator<=>(const StoreVersion& aLeft,
                                                    const StoreVersion& aRight)
  {
    auto byEra = aLeft.mEra <=> aRight.mEra;
    return byEra != 0 ? byEra : aLeft.mRevision <=> aRight.mRevision;
  }
};

} // namespace heatherplank
