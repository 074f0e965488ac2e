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

/** Keeps a balancer's routes at the newest version that it has seen, from the
 * store (by WatchSchedule) and from peers; a version never goes back within a
 * process. Thread safe, by its own lock.
 */
class InventoryWatch : public std::enable_shared_from_this<InventoryWatch>
{
public:
  /** Called with no lock held, for each version in rising order. aDocument is
   * what it was read from. */
  using OnInventory =
    std::function<void(FlowInventoryPtr, const std::string& aDocument)>;

  struct Options
  {
    /** The store's key of the document. */
    std::string mKey;
    WatchSchedule::Options mSchedule;
  };

  /** aClock, aStore and aReader must outlive it, and every call of the store.
   */
  static std::shared_ptr<InventoryWatch> Make(
    const Clock& aClock, ObjectStore& aStore,
    const FlowInventoryReader& aReader, Options aOptions,
    OnInventory aOnInventory);

  /** How long watches wait from now on; none to begin no more calls. A watch
   * that went silent is noticed after this and the call's time-out; a shorter
   * wait costs a call each time. */
  void SetWatchFor(std::optional<Duration> aWait);

  /** Starts the next call when it is due; call it some ten times a second. */
  void OnTick();

  /** Reads the object now and forgets the call under way: this process stood
   * still, or a peer knows a newer version. */
  void ReadNow();

  /** A document that a peer sent. False if it can't be read. */
  bool OnPeerDocument(const std::string& aDocument);

  /** The version in force, or 0, and what it was read from. */
  std::uint64_t Version() const;
  std::string Document() const;

  /** See WatchSchedule. */
  bool IsStoreLost() const;
  Time HeardAt() const;
  Time ConfirmedAt() const;
  Time WatchedAt() const;

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
