#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "src/passthrough/ConfirmationAge.h"
#include "src/passthrough/DrainWatch.h"
#include "src/passthrough/InventoryPeers.h"
#include "src/passthrough/InventoryWatch.h"
#include "src/passthrough/PeerLag.h"
#include "src/passthrough/RouteVersions.h"
#include "src/passthrough/StoreWatcherSelection.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

class MessageSender;

/** Keeps a balancer's routes and drained data centres up to date from the store
 * and from other balancers, and notifies other balancers of changes. Connects
 * StoreWatcherSelection, InventoryWatch, DrainWatch and InventoryPeers to the
 * network. Runs on one thread.
 *
 * Routes come into force once the drains are known: a balancer that knows only
 * the routes would place flows on hosts that are about to lose power.
 */
class InventoryExchange
{
public:
  struct Parts
  {
    const Clock& mClock;
    MessageSender& mMessages;
    ObjectStore& mStore;
    const FlowInventoryReader& mReader;
    InventoryWatch::Options mWatch;
    DrainWatch::Options mDrainWatch;
    InventoryPeers::Options mPeers;
    StoreWatcherSelection::Options mWatcherSelection;
    Duration mFlowLifetime{};
    /** The other balancers in the membership view. */
    std::function<std::vector<Member>()> mBalancers;
    /** Control addresses used while no other balancer is in the view. */
    std::function<std::vector<Address>()> mSeeds;
    /** Routes came into force. */
    std::function<void(FlowInventoryPtr)> mOnInventory;
    /** Data centres were drained or returned to service. */
    std::function<void(const DataCentreDrains&)> mOnDrains;
    /** Services that routes have left, from a balancer of the previous
     * release. */
    std::function<void(std::span<const PastService>)> mOnPastServices;
  };

  /** The objects that aParts refers to must outlive it. */
  explicit InventoryExchange(Parts aParts);

  /** Call it several times a second. */
  void OnTick();
  void OnNotice(const InventoryNotice& aNotice);
  void OnDocument(const InventoryDocument& aDocument);

  /** This process was stalled. */
  void OnProcessStall() { mWatcherSelection.OnProcessStall(); }

  /** Reads routes and drains from the store: the local copies may be old. */
  void ReadNow();

  /** The routes' version; 0 before any were received. */
  std::uint64_t Version() const { return mWatch->Version(); }
  /** Whether another balancer has had routes in force within the lifetime of a
   * flow that this one has not had. */
  bool HasMissedRoutes();
  /** See RouteVersions::NewestSkipped. */
  std::uint64_t NewestSkippedRoutes();
  /** The newest era of the store seen here or reported by a peer. */
  std::uint64_t StoreEra() const { return mStoreEra; }
  /** When the store last responded; zero if it never did. */
  Time LastAnswerAt() const { return mWatch->LastAnswerAt(); }
  /** How long ago the store confirmed routes and drains, as known here. */
  const ConfirmationAge& Age() const { return mAge; }
  /** How long the store call for the routes has been pending. */
  Duration PendingCallAge() const { return mWatch->PendingCallAge(); }

private:
  void OnInventory(FlowInventoryPtr aInventory);
  void OnDrains(const DataCentreDrains& aDrains);
  void OnStoreEra(std::uint64_t aEra, std::string_view aSource);
  /** Puts pending routes in force if the drains are known. */
  void ApplyPendingInventory();
  bool HasRoutesAndDrains() const
  {
    return Version() != 0 && mDrains->IsKnown();
  }
  /** When the store last confirmed routes and drains; zero if it never did. */
  Time ConfirmedAt() const;
  void UpdateAge(Time aNow);
  void ReadIfWatchSeemsSilent(Time aNow);
  bool IsBehindPeers(Time aNow);
  void NotifyPeers();
  void UpdateWatch(std::span<const Member> aBalancers, Time aNow);
  void SendDocument(const InventoryNotice& aNotice, Time aNow);
  const Bytes& PackedDocument();
  InventoryPeers::LocalState MakeLocalState(Time aNow);
  std::vector<Address> PeerAddresses(std::span<const Member> aBalancers) const;
  void Send(const std::vector<InventoryPeers::OutgoingNotice>& aNotices);

  Parts mParts;
  StoreWatcherSelection mWatcherSelection;
  InventoryPeers mPeers;
  std::shared_ptr<InventoryWatch> mWatch;
  std::shared_ptr<DrainWatch> mDrains;
  /** Routes that are not in force until the drains are known. */
  FlowInventoryPtr mPendingInventory;
  ConfirmationAge mAge;
  PeerLag mPeerLag;
  bool mIsWatching = false;
  std::uint64_t mStoreEra = 0;
  RouteVersions mVersions;
  /** The current document, compressed at the first request of a peer. */
  InventoryDocument mPacked;
};

} // namespace heatherplank
