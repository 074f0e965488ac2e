#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Identifies one attempt to run a key. It is random and never reused; only the
 * process that drew it may dispatch a request under it. */
using Nonce = std::uint64_t;

/** The right to run a key once, as committed in the platform's store. It has no
 * timeout: it is replaced only after its holder confirms that it did not
 * dispatch the request and never will. */
struct Grant
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  Nonce mNonce = 0;
  /** The run ended and its outcome is known. */
  bool mAnswered = false;
  /** The answer; none while the run is in progress, or if the answer was too
   * large to be stored. */
  std::optional<std::string> mAnswer;

  bool operator==(const Grant&) const = default;
};

} // namespace heatherplank
