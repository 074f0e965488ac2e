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
#include "src/store/CallLimits.h"

namespace heatherplank {

/** Keeps a balancer's routes at the newest version that it has seen, from the
 * store and from peers; a version never goes back within a process.
 *
 * The store is watched. A watch may hear nothing for good: its connection went
 * silent, or the store cut it off without a word. So a watch waits a bounded
 * time, and after each failure the object is read whole, never from where the
 * watch had been. Thread safe, by its own lock.
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
    /** A watch that ends with nothing sooner than this did not wait: the next
     * call pauses, or a store that answers at once would be called in a
     * stream. */
    Duration mShortestWatch = std::chrono::milliseconds(250);
    Duration mFirstPause = std::chrono::milliseconds(100);
    Duration mLongestPause = std::chrono::milliseconds(1500);
    std::uint64_t mSeed = 1;
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

  /** The last call failed, and none has succeeded since. */
  bool IsStoreLost() const;

  /** When the store last answered; zero if it never did. */
  Time HeardAt() const;

  /** When the store last said that nothing newer is in force; zero if it never
   * did. An answer may have waited on the way here, so it counts from when the
   * store gave it at the earliest. */
  Time ConfirmedAt() const;

private:
  InventoryWatch(const Clock& aClock, ObjectStore& aStore,
                 const FlowInventoryReader& aReader, Options aOptions,
                 OnInventory aOnInventory);

  void Read(std::uint64_t aCall);
  void Watch(std::uint64_t aCall, std::uint64_t aAfter, Duration aWait);
  void OnRead(std::uint64_t aCall, Result<Object> aObject);
  void OnWatched(std::uint64_t aCall, Result<std::optional<Object>> aChange);
  void OnFailure(std::uint64_t aCall, const Error& aWhy);
  /** False if aCall is not the one under way any more. */
  bool EndCall(std::uint64_t aCall);
  bool Accept(const std::string& aDocument, std::string_view aSource);

  const Clock& mClock;
  ObjectStore& mStore;
  const FlowInventoryReader& mReader;
  const Options mOptions;
  const OnInventory mOnInventory;
  mutable std::mutex mLock;
  Backoff mBackoff;
  std::optional<Duration> mWatchFor;
  /** The object is to be read, whether it is watched or not. */
  bool mReadOnce = false;
  /** The call under way; answers to others are dropped. */
  std::uint64_t mCall = 0;
  bool mCalling = false;
  Time mNextAt{};
  Time mCalledAt{};
  /** The object's version at the store, to watch from; 0 to read it whole. */
  std::uint64_t mObjectVersion = 0;
  bool mStoreLost = false;
  Time mHeardAt{};
  Time mConfirmedAt{};
  /** How long the call under way lets the store wait. */
  Duration mWait{};
  std::uint64_t mVersion = 0;
  std::string mDocument;
};

} // namespace heatherplank
