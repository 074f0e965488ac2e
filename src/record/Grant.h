#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Names one attempt to run a key; drawn at random, never drawn twice. Only
 * the process that drew it dispatches under it. */
using Nonce = std::uint64_t;

/** The right to run a key once, as committed in the platform. It is never
 * taken over by time: only its holder's word that it was not used frees it. */
struct Grant
{
  HostId mHost;
  Incarnation mIncarnation = 0;
  Nonce mNonce = 0;
  /** The run ended and its outcome is known. */
  bool mAnswered = false;
  /** The answer; none while it runs, or if it was too large to keep. */
  std::optional<std::string> mAnswer;

  bool operator==(const Grant&) const = default;
};

} // namespace heatherplank
