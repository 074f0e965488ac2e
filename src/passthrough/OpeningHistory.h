#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace heatherplank {

/** The sequence numbers of the last opening packets between two addresses, by
 * which a copy is told from the opening of another flow.
 *
 * Guards against: a copy of an earlier opening is late, and the caller has used
 * its port again meanwhile. Taken for one more new flow, it would replace the
 * present one at the host.
 *
 * Not thread safe. */
class OpeningHistory
{
public:
  /** Callers open a few flows from a port before a late copy has arrived. */
  static constexpr std::size_t kMaxEarlier = 4;

  /** The opening of the present flow; unset if it was not seen. */
  std::optional<std::uint32_t> Present() const { return mPresent; }

  /** Whether a flow before the present one had this opening. */
  bool IsEarlier(std::uint32_t aOpening) const
  {
    auto end = mEarlier.begin() + mEarlierCount;
    return std::find(mEarlier.begin(), end, aOpening) != end;
  }

  /** Another flow is opened. */
  void Begin(std::uint32_t aOpening)
  {
    if (mPresent) {
      std::shift_right(mEarlier.begin(), mEarlier.end(), 1);
      mEarlier.front() = *mPresent;
      mEarlierCount = static_cast<std::uint8_t>(
        std::min<std::size_t>(mEarlierCount + 1U, kMaxEarlier));
    }
    mPresent = aOpening;
  }

  /** The host did not take the present flow: the one before is present again.
   */
  void Revoke()
  {
    mPresent.reset();
    if (mEarlierCount > 0) {
      mPresent = mEarlier.front();
      std::shift_left(mEarlier.begin(), mEarlier.end(), 1);
      --mEarlierCount;
    }
  }

private:
  std::optional<std::uint32_t> mPresent;
  /** The latest first. */
  std::array<std::uint32_t, kMaxEarlier> mEarlier{};
  std::uint8_t mEarlierCount = 0;
};

} // namespace heatherplank
