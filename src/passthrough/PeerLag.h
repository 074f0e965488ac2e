#pragma once

#include <cstdint>
#include <optional>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Decides when a balancer whose peers have announced newer routes stops
 * waiting for them and reads the store itself.
 *
 * Guards against: the connections of its watch and from its peers are silent.
 * Announcements, which are datagrams, still arrive, but neither the store's
 * response nor a peer's document does, and the balancer serves old routes until
 * its watch times out.
 *
 * No I/O or clock access; not thread safe. */
class PeerLag
{
public:
  struct Options
  {
    /** Time that a balancer which watches the store leaves for the response of
     * its watch and for documents. */
    Duration mWatcherPatience = std::chrono::milliseconds(450);
    /** Time that the others leave for documents: in a large fleet with slow
     * links, many of them are behind at each change. */
    Duration mPatience = std::chrono::milliseconds(900);
  };

  explicit PeerLag(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  /** A peer has version aAnnounced in force; aLocal is in force here. */
  void OnAnnounced(std::uint64_t aAnnounced, std::uint64_t aLocal, Time aNow)
  {
    if (aAnnounced > aLocal && !mAwaited) {
      mAwaited = { aAnnounced, aNow };
    }
  }

  /** Whether to read the store now; if so, the next read is due only after as
   * long again. aIsWatching: this balancer watches the store. */
  bool ShouldRead(std::uint64_t aLocal, bool aIsWatching, Time aNow)
  {
    if (mAwaited && mAwaited->mVersion <= aLocal) {
      mAwaited.reset();
    }
    Duration patience =
      aIsWatching ? mOptions.mWatcherPatience : mOptions.mPatience;
    if (!mAwaited || aNow - mAwaited->mSince < patience) {
      return false;
    }
    mAwaited->mSince = aNow;
    return true;
  }

private:
  struct Awaited
  {
    std::uint64_t mVersion = 0;
    Time mSince;
  };

  const Options mOptions;
  std::optional<Awaited> mAwaited;
};

} // namespace heatherplank
