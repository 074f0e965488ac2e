#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/passthrough/FlowInventory.h"
#include "src/passthrough/WatchSchedule.h"

namespace heatherplank {

/** Keeps a balancer's routes at the newest version from the store (by
 * WatchSchedule) or peers; the version never decreases within a process.
 * Thread safe. */
class InventoryWatch : public std::enable_shared_from_this<InventoryWatch>
{
public:
  /** Called without a lock held, for each version in ascending order.
   * aDocument: the text that the inventory was parsed from. */
  using OnInventory =
    std::function<void(FlowInventoryPtr, const std::string& aDocument)>;

  struct Options
  {
    /** The store's key of the document. */
    std::string mKey;
    WatchSchedule::Options mSchedule;
  };

  /** aClock, aStore and aReader must outlive the watch and every store call. */
  static std::shared_ptr<InventoryWatch> Make(
    const Clock& aClock, ObjectStore& aStore,
    const FlowInventoryReader& aReader, Options aOptions,
    OnInventory aOnInventory);

  /** Sets how long each watch waits for a change; none: starts no more calls.
   * An unresponsive watch is detected after this duration plus the call's
   * timeout; shorter watches cost more store calls. */
  void SetWatchWait(std::optional<WatchSchedule::WatchWait> aWait);

  /** Starts the next store call if due. Call it about ten times a second. */
  void OnTick();

  /** Reads the object now, over a new connection, and abandons the pending
   * call: this process was stalled, or the call seems to be silent. */
  void ReadNow();

  /** Accepts a document from a peer. False if it is invalid. */
  bool OnPeerDocument(const std::string& aDocument);

  /** The version in force, or 0, and the document that it was parsed from. */
  std::uint64_t Version() const;
  std::string Document() const;

  /** See WatchSchedule. */
  bool IsStoreLost() const;
  Time LastAnswerAt() const;
  Time ConfirmedAt() const;
  Time WatchedAt() const;
  Duration PendingCallAge() const;
  bool IsReadPending() const;
  bool IsWatchPending() const;

private:
  InventoryWatch(const Clock& aClock, ObjectStore& aStore,
                 const FlowInventoryReader& aReader, Options aOptions,
                 OnInventory aOnInventory);

  void Read(const WatchSchedule::Call& aCall);
  void Watch(const WatchSchedule::Call& aCall);
  void OnAnswer(const WatchSchedule::Call& aCall,
                Result<std::optional<Object>> aChange);
  void OnFailure(const WatchSchedule::Call& aCall, const Error& aWhy);
  bool Accept(const std::string& aDocument, std::string_view aSource);

  const Clock& mClock;
  ObjectStore& mStore;
  const FlowInventoryReader& mReader;
  const Options mOptions;
  const OnInventory mOnInventory;
  mutable std::mutex mLock;
  WatchSchedule mSchedule;
  std::uint64_t mVersion = 0;
  std::string mDocument;
};

} // namespace heatherplank
