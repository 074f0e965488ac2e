#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "src/passthrough/DrainWatch.h"
#include "src/passthrough/InventoryMessages.h"
#include "src/passthrough/InventoryPeers.h"
#include "src/passthrough/InventoryWatch.h"
#include "src/passthrough/StoreWatchDuty.h"

namespace heatherplank {

class MessageSender;

/** How a balancer keeps its routes and the drained data centres: from the store
 * and from other balancers, and tells these. Joins StoreWatchDuty,
 * InventoryWatch, DrainWatch and InventoryPeers to the wire. Runs on one
 * thread.
 *
 * Routes come into force once the drains are known: a balancer that knows the
 * routes alone would place flows on hosts that are about to lose power.
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
    StoreWatchDuty::Options mDuty;
    /** The other balancers in view. */
    std::function<std::vector<Member>()> mBalancers;
    /** Control addresses to begin with, before any balancer is in view. */
    std::function<std::vector<Address>()> mSeeds;
    /** Routes came into force. */
    std::function<void(FlowInventoryPtr)> mOnInventory;
    /** Data centres were drained or taken back. */
    std::function<void(const DataCentreDrains&)> mOnDrains;
  };

  /** What the parts refer to must outlive it. */
  explicit InventoryExchange(Parts aParts);

  /** Call it some times a second. */
  void OnTick();
  void OnNotice(const InventoryNotice& aNotice);
  void OnDocument(const InventoryDocument& aDocument);

  /** This process did not run for a while. */
  void OnStandstill() { mDuty.OnStandstill(); }

  /** Reads the whole from the store at once: what is held may be old. */
  void ReadNow();

  /** 0 before any came into force. */
  std::uint64_t Version() const { return mWatch->Version(); }
  /** When the store last answered; zero before it did. */
  Time HeardAt() const { return mWatch->HeardAt(); }
  bool IsStoreAnswering() const
  {
    return HeardAt() != Time{} && !mWatch->IsStoreLost();
  }

private:
  void OnInventory(FlowInventoryPtr aInventory);
  void OnDrains(const DataCentreDrains& aDrains);
  /** Puts routes in force that waited for the drains. */
  void PutInForce();
  bool KnowsAll() const { return Version() != 0 && mDrains->IsKnown(); }
  /** When the store last confirmed all that is in force; zero if it did not. */
  Time ConfirmedAt() const;
  void TellPeers();
  void JudgeDuty(std::span<const Member> aBalancers, Time aNow);
  void GiveDocument(const InventoryNotice& aNotice, Time aNow);
  const Bytes& Packed();
  InventoryPeers::Known WhatIsKnown(Time aNow) const;
  std::vector<Address> PeerAddresses(std::span<const Member> aBalancers) const;
  void Send(const std::vector<InventoryPeers::Send>& aNotices);

  Parts mParts;
  StoreWatchDuty mDuty;
  InventoryPeers mPeers;
  std::shared_ptr<InventoryWatch> mWatch;
  std::shared_ptr<DrainWatch> mDrains;
  /** Routes that wait for the drains. */
  FlowInventoryPtr mWaiting;
  bool mWatches = false;
  /** The document in force as it is sent to peers, once one asked. */
  InventoryDocument mPacked;
};

} // namespace heatherplank
