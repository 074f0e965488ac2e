#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/InventoryMessages.h"

namespace heatherplank {

/** Spreads versions of the routes between balancers, the second way to them
 * beside the store: balancers that the store turns away, or whose watch went
 * silent, learn of a change from any that heard of it, and a balancer that
 * starts while the store is away gets its routes from a seed.
 *
 * Each balancer tells a few others its version twice a second, and at once
 * when it changes. Who hears of a newer one asks for the document. Pure; not
 * thread safe.
 */
class InventoryPeers
{
public:
  /** Peers told in one round. Eight reach a thousand balancers in four rounds,
   * and all of today's in one. */
  static constexpr std::size_t kFanOut = 8;
  static constexpr Duration kTellEvery = std::chrono::milliseconds(500);
  /** A question that stays unanswered is asked again after this. */
  static constexpr Duration kAskAgainAfter = std::chrono::milliseconds(250);

  struct Send
  {
    Address mTo;
    InventoryNotice mNotice;
  };

  InventoryPeers(const Address& aSelf, std::uint64_t aSeed);

  /** What to send now. aPeers: control addresses of other balancers, seeds
   * too. */
  std::vector<Send> OnTick(std::span<const Address> aPeers,
                           std::uint64_t aVersion, Time aNow);

  /** A version came into force here: tells peers at once. */
  std::vector<Send> OnChanged(std::span<const Address> aPeers,
                              std::uint64_t aVersion, Time aNow);

  /** A peer's notice: what to answer. */
  std::vector<Send> OnNotice(const InventoryNotice& aNotice,
                             std::uint64_t aVersion, Time aNow);

  /** Whether the sender of a notice is to be sent the document. */
  static bool IsOwedDocument(const InventoryNotice& aNotice,
                             std::uint64_t aVersion)
  {
    return aNotice.mWantsDocument && aVersion > aNotice.mVersion;
  }

private:
  std::vector<Send> Tell(std::span<const Address> aPeers,
                         std::uint64_t aVersion, Time aNow);

  const Address mSelf;
  std::minstd_rand mRandom;
  Time mToldAt{};
  Time mAskedAt{};
};

} // namespace heatherplank
