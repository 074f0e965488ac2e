#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/membership/ByteBudget.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

/** Spreads versions of the routes between balancers by gossip, as the second
 * source beside the store. It serves balancers that do not watch the store,
 * whose calls the store rejects, or whose watch became unresponsive.
 *
 * Each balancer sends its version to a few others twice a second, and at once
 * when the version changes. The receiver of a newer version requests the
 * document; the receiver of an older version responds with its own version.
 *
 * Guards against: a document of 1,000 routes occupies a link of 2 Mbit/s for
 * more than half a second. A restarted balancer that requested it from eight
 * peers at once, and again after 250 ms, received a dozen copies. Callers'
 * packets were queued behind them for seconds, also on the senders' links. It
 * showed as opening packets without a response at every balancer in the seconds
 * after one of them started. A balancer therefore requests one document at a
 * time, doubles the timeout after each that did not arrive, and limits the
 * documents that it sends to a share of its link.
 *
 * No I/O or clock access; not thread safe.
 */
class InventoryPeers
{
public:
  /** Peers notified per round; eight reach 1,000 balancers in four rounds. */
  static constexpr std::size_t kFanOut = 8;
  static constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
  /** Time after which another peer is asked for the document. A compressed one
   * takes about 100 ms on a slow link, and as long may be spent behind
   * documents queued before it. */
  static constexpr Duration kDocumentTimeout = std::chrono::milliseconds(800);
  /** Upper limit. Each document that did not arrive doubles the timeout: the
   * link may be slower than configured, and repeated copies would fill it. */
  static constexpr Duration kMaxDocumentTimeout =
    std::chrono::milliseconds(3200);
  /** The share of a balancer's link for documents to its peers. */
  static constexpr double kLinkShare = 0.25;

  struct Options
  {
    /** This balancer's control address. */
    Address mSelf;
    /** Capacity of this balancer's link, bytes per second. */
    double mLinkBytesPerSecond = 0;
    std::uint64_t mSeed = 1;
  };

  /** This balancer's version of the routes and drains. */
  struct LocalState
  {
    /** 0 while no routes are in force. */
    std::uint64_t mVersion = 0;
    std::optional<Duration> mConfirmedAgo;
    DataCentreDrains mDrains;
    std::uint64_t mStoreEra = 0;
    /** InventoryNotice::mVersions. */
    std::vector<RecentVersion> mVersions{};
  };

  struct OutgoingNotice
  {
    Address mTo;
    InventoryNotice mNotice;
  };

  explicit InventoryPeers(const Options& aOptions);

  /** The notices due now. aPeers: control addresses of balancers and seeds. */
  std::vector<OutgoingNotice> OnTick(std::span<const Address> aPeers,
                                     const LocalState& aState, Time aNow);

  /** A version came into force here, from the store or a peer: notifies peers
   * at once. */
  std::vector<OutgoingNotice> OnChanged(std::span<const Address> aPeers,
                                        const LocalState& aState, Time aNow);

  /** The notices to send in response to a peer's notice for which
   * ShouldSendDocument() is false. */
  std::vector<OutgoingNotice> OnNotice(const InventoryNotice& aNotice,
                                       const LocalState& aState, Time aNow);

  /** A document arrived. aIsReadable: it is valid. */
  void OnDocument(bool aIsReadable);

  /** Whether to send the document to the sender of a notice. */
  static bool ShouldSendDocument(const InventoryNotice& aNotice,
                                 std::uint64_t aVersion)
  {
    return aNotice.mWantsDocument && aVersion > aNotice.mVersion;
  }

  /** Reserves aBytes of the link for a document; false if the share for
   * documents is used up: then send MakeBusyNotice() instead. */
  bool ReserveLink(std::size_t aBytes, Time aNow);
  OutgoingNotice MakeBusyNotice(const InventoryNotice& aNotice,
                                const LocalState& aState) const;

  /** Whether a document was requested and its timeout has not passed. */
  bool IsDocumentPending(Time aNow) const;

private:
  struct PendingRequest
  {
    Address mPeer;
    Time mDeadline;
  };

  std::vector<OutgoingNotice> NotifyPeers(std::span<const Address> aPeers,
                                          const LocalState& aState, Time aNow);
  InventoryNotice MakeNotice(const LocalState& aState) const;
  OutgoingNotice RequestDocument(const Address& aPeer, const LocalState& aState,
                                 Time aNow);

  const Options mOptions;
  std::minstd_rand mRandom;
  ByteBudget mLink;
  Time mNotifiedAt{};
  std::optional<PendingRequest> mPendingRequest;
  Duration mDocumentTimeout = kDocumentTimeout;
};

} // namespace heatherplank
