#pragma once

#include <cstdint>

namespace heatherplank {

/** Tells bytes of one direction of a flow that were not seen before from copies
 * of those that were.
 *
 * Failure met: packets of an upload overtake one another on the way, the host
 * repeats its acknowledgement, and the caller sends again what had arrived
 * already; the copies reach the agent after the host's answer. Taken for a
 * request each of them held a slot until its limit of some seconds: of 25
 * uploads a second to three hosts more than half were refused beside idle
 * slots. A request begins with new bytes, and a copy never has any.
 *
 * Bytes are ordered by their sequence numbers, which wrap: what is less than
 * half the number space ahead of the last byte seen is new, and a flow carries
 * far less than that at once. Not thread safe.
 */
class NewBytes
{
public:
  /** Whether any of aLength bytes from aSequence on was not seen before; they
   * count as seen from then on. The first bytes of a flow are always new. */
  bool Take(std::uint32_t aSequence, std::uint16_t aLength)
  {
    std::uint32_t end = aSequence + aLength;
    bool isNew =
      aLength > 0 && (!mAny || static_cast<std::int32_t>(end - mEnd) > 0);
    if (isNew) {
      mAny = true;
      mEnd = end;
    }
    return isNew;
  }

private:
  bool mAny = false;
  /** The sequence number after the last byte seen. */
  std::uint32_t mEnd = 0;
};

} // namespace heatherplank
