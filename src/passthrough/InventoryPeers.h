#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/membership/ByteBudget.h"
#include "src/passthrough/InventoryMessages.h"

namespace heatherplank {

/** Spreads versions of the routes between balancers, the second way to them
 * beside the store: balancers that do not watch the store, that it turns away,
 * or whose watch went silent, learn of a change from any that heard of it.
 *
 * Each balancer tells a few others its version twice a second, and at once
 * when it changes. Who hears of a newer one asks for the document; who hears
 * of an older one tells its own.
 *
 * Failure met: a document of 1,000 routes takes a link of 2 Mbit/s more than
 * half a second. Asked for at eight peers at once, and again after 250 ms, it
 * came a dozen times to each balancer that restarted; callers' packets waited
 * for seconds behind the copies, and the balancers that sent them were as
 * full. Shown by opening packets that go unanswered at every balancer in the
 * seconds after one of them started. So a balancer has one document under way
 * to it, waits longer after each that did not come, and gives documents no more
 * than a share of its link.
 *
 * Pure; not thread safe.
 */
class InventoryPeers
{
public:
  /** Peers told in one round. Eight reach a thousand balancers in four rounds.
   */
  static constexpr std::size_t kFanOut = 8;
  static constexpr Duration kTellEvery = std::chrono::milliseconds(500);
  /** A document that was asked for comes within this, or another peer is asked:
   * a packed one takes a thin link some 100 ms, and those before it as long. */
  static constexpr Duration kDocumentWithin = std::chrono::milliseconds(800);
  /** The longest such wait. Each document that did not come doubles it: the
   * link may carry less than its settings say, and copies would fill it. */
  static constexpr Duration kDocumentWithinAtMost =
    std::chrono::milliseconds(3200);
  /** Of a balancer's link, what documents to its peers may take. */
  static constexpr double kLinkShare = 0.25;

  struct Options
  {
    /** This balancer's control address. */
    Address mSelf;
    /** What this balancer's link carries, bytes a second. */
    double mLinkBytesPerSecond = 0;
    std::uint64_t mSeed = 1;
  };

  /** What this balancer knows of the routes. */
  struct Known
  {
    /** 0 before any are in force. */
    std::uint64_t mVersion = 0;
    std::optional<Duration> mConfirmedAgo;
    DataCentreDrains mDrains;
  };

  struct Send
  {
    Address mTo;
    InventoryNotice mNotice;
  };

  explicit InventoryPeers(const Options& aOptions);

  /** What to send now. aPeers: control addresses of other balancers, seeds
   * too. */
  std::vector<Send> OnTick(std::span<const Address> aPeers, const Known& aKnown,
                           Time aNow);

  /** A version came into force here, from wherever: tells peers at once. */
  std::vector<Send> OnChanged(std::span<const Address> aPeers,
                              const Known& aKnown, Time aNow);

  /** A peer's notice: what to answer, if it asks for no document that it is
   * owed. */
  std::vector<Send> OnNotice(const InventoryNotice& aNotice,
                             const Known& aKnown, Time aNow);

  /** A document came, or bytes that are none. */
  void OnDocument(bool aIsReadable);

  /** Whether the sender of a notice is to be sent the document. */
  static bool IsOwedDocument(const InventoryNotice& aNotice,
                             std::uint64_t aVersion)
  {
    return aNotice.mWantsDocument && aVersion > aNotice.mVersion;
  }

  /** Takes aBytes of the link for a document; false if its share is used up,
   * and the peer is to be told so. */
  bool TakeLink(std::size_t aBytes, Time aNow);
  Send Busy(const InventoryNotice& aNotice, const Known& aKnown) const;

  /** A document was asked for and may still come. */
  bool IsAsking(Time aNow) const;

private:
  struct Question
  {
    Address mPeer;
    Time mUntil;
  };

  std::vector<Send> Tell(std::span<const Address> aPeers, const Known& aKnown,
                         Time aNow);
  InventoryNotice MakeNotice(const Known& aKnown) const;
  Send Ask(const Address& aPeer, const Known& aKnown, Time aNow);

  const Options mOptions;
  std::minstd_rand mRandom;
  ByteBudget mLink;
  Time mToldAt{};
  std::optional<Question> mQuestion;
  Duration mDocumentWithin = kDocumentWithin;
};

} // namespace heatherplank
