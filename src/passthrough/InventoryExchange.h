#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "src/passthrough/InventoryMessages.h"
#include "src/passthrough/InventoryPeers.h"
#include "src/passthrough/InventoryWatch.h"
#include "src/passthrough/StoreWatchDuty.h"

namespace heatherplank {

class MessageSender;

/** How a balancer keeps its routes: from the store and from other balancers,
 * and tells these. Joins StoreWatchDuty, InventoryWatch and InventoryPeers to
 * the wire. Runs on one thread.
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
    InventoryPeers::Options mPeers;
    StoreWatchDuty::Options mDuty;
    /** The other balancers in view. */
    std::function<std::vector<Member>()> mBalancers;
    /** Control addresses to begin with, before any balancer is in view. */
    std::function<std::vector<Address>()> mSeeds;
    /** Routes came into force. */
    std::function<void(FlowInventoryPtr)> mOnInventory;
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
  void ReadNow() { mWatch->ReadNow(); }

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
  bool mWatches = false;
  /** The document in force as it is sent to peers, once one asked. */
  InventoryDocument mPacked;
};

} // namespace heatherplank
