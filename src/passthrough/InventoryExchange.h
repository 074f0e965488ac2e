#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "src/passthrough/InventoryMessages.h"
#include "src/passthrough/InventoryPeers.h"
#include "src/passthrough/InventoryWatch.h"

namespace heatherplank {

class MessageSender;

/** How a balancer keeps its routes: from the store and from other balancers,
 * and tells these. Joins InventoryWatch and InventoryPeers to the wire. Runs on
 * one thread.
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
    InventoryWatch::Options mOptions;
    /** This balancer's control address. */
    Address mSelf;
    /** Control addresses of other balancers, seeds too. */
    std::function<std::vector<Address>()> mPeers;
    /** Routes came into force. */
    std::function<void(FlowInventoryPtr)> mOnInventory;
  };

  /** What the parts refer to must outlive it. */
  explicit InventoryExchange(Parts aParts);

  /** Call it some times a second. */
  void OnTick();
  void OnNotice(const InventoryNotice& aNotice);
  void OnDocument(const InventoryDocument& aDocument);

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
  void Send(const std::vector<InventoryPeers::Send>& aNotices);

  Parts mParts;
  InventoryPeers mPeers;
  std::shared_ptr<InventoryWatch> mWatch;
};

} // namespace heatherplank
