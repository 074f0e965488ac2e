#pragma once

#include <cstdint>

namespace heatherplank {

/** Distinguishes new bytes of one direction of a flow from retransmitted ones.
 *
 * Guards against: packets of an upload are reordered, the host repeats its
 * acknowledgement, and the caller retransmits data that has arrived; the
 * retransmissions reach the agent after the host's answer. Counted as requests,
 * each held a slot until its timeout of several seconds: of 25 uploads a second
 * to three hosts more than half were refused while slots were idle. Only a
 * packet with new bytes therefore begins a request.
 *
 * Sequence numbers wrap: a byte less than half the number space ahead of the
 * last byte seen is new. The bytes in flight on a flow are far fewer. Not
 * thread safe.
 */
class NewByteDetector
{
public:
  /** Records aLength bytes from aSequence on. Returns whether any of them is
   * new. The first bytes of a flow are always new. */
  bool Record(std::uint32_t aSequence, std::uint16_t aLength)
  {
    std::uint32_t end = aSequence + aLength;
    bool isNew = aLength > 0 &&
                 (!mHasSeenBytes || static_cast<std::int32_t>(end - mEnd) > 0);
    if (isNew) {
      mHasSeenBytes = true;
      mEnd = end;
    }
    return isNew;
  }

private:
  bool mHasSeenBytes = false;
  /** The sequence number after the last byte seen. */
  std::uint32_t mEnd = 0;
};

} // namespace heatherplank
