#include "src/passthrough/InventoryWatch.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

std::shared_ptr<InventoryWatch> InventoryWatch::Make(
  const Clock& aClock, ObjectStore& aStore, const FlowInventoryReader& aReader,
  Options aOptions, OnInventory aOnInventory)
{
  return std::shared_ptr<InventoryWatch>(new InventoryWatch(
    aClock, aStore, aReader, std::move(aOptions), std::move(aOnInventory)));
}

InventoryWatch::InventoryWatch(const Clock& aClock, ObjectStore& aStore,
                               const FlowInventoryReader& aReader,
                               Options aOptions, OnInventory aOnInventory)
  : mClock(aClock)
  , mStore(aStore)
  , mReader(aReader)
  , mOptions(std::move(aOptions))
  , mOnInventory(std::move(aOnInventory))
  , mBackoff(mOptions.mFirstPause, mOptions.mLongestPause, mOptions.mSeed)
{
}

void InventoryWatch::SetWatchFor(std::optional<Duration> aWait)
{
  std::lock_guard lock(mLock);
  mWatchFor = aWait;
}

void InventoryWatch::OnTick()
{
  std::uint64_t call = 0;
  std::uint64_t after = 0;
  Duration wait{};
  {
    std::lock_guard lock(mLock);
    bool wanted = mWatchFor.has_value() || mReadOnce;
    if (!wanted || mCalling || mClock.Now() < mNextAt) {
      return;
    }
    mReadOnce = false;
    wait = mWatchFor.value_or(Duration::zero());
    mWait = mObjectVersion == 0 ? Duration::zero() : wait;
    mCalling = true;
    mCalledAt = mClock.Now();
    call = ++mCall;
    after = mObjectVersion;
  }
  if (after == 0) {
    Read(call);
  } else {
    Watch(call, after, wait);
  }
}

void InventoryWatch::ReadNow()
{
  {
    std::lock_guard lock(mLock);
    ++mCall;
    mCalling = false;
    mReadOnce = true;
    mObjectVersion = 0;
    mNextAt = mClock.Now();
  }
  OnTick();
}

void InventoryWatch::Read(std::uint64_t aCall)
{
  mStore.Get(mOptions.mKey,
             [self = shared_from_this(), aCall](Result<Object> aObject) {
               self->OnRead(aCall, std::move(aObject));
             });
}

void InventoryWatch::Watch(std::uint64_t aCall, std::uint64_t aAfter,
                           Duration aWait)
{
  mStore.Watch(
    mOptions.mKey, aAfter, aWait,
    [self = shared_from_this(), aCall](Result<std::optional<Object>> aChange) {
      self->OnWatched(aCall, std::move(aChange));
    });
}

bool InventoryWatch::EndCall(std::uint64_t aCall)
{
  std::lock_guard lock(mLock);
  if (aCall != mCall) {
    return false;
  }
  mCalling = false;
  return true;
}

void InventoryWatch::OnRead(std::uint64_t aCall, Result<Object> aObject)
{
  if (!aObject) {
    OnFailure(aCall, aObject.error());
    return;
  }
  OnWatched(aCall, std::optional<Object>(std::move(*aObject)));
}

void InventoryWatch::OnWatched(std::uint64_t aCall,
                               Result<std::optional<Object>> aChange)
{
  if (!aChange) {
    OnFailure(aCall, aChange.error());
    return;
  }
  if (!EndCall(aCall)) {
    return;
  }
  bool regained = false;
  {
    std::lock_guard lock(mLock);
    regained = std::exchange(mStoreLost, false);
    mHeardAt = mClock.Now();
    bool waited = mHeardAt - mCalledAt >= mOptions.mShortestWatch;
    if (*aChange || waited) {
      mBackoff.Reset();
      mNextAt = mHeardAt;
    } else {
      mNextAt = mHeardAt + mOptions.mFirstPause + mBackoff.Next();
    }
    // A change is told when it happens, whenever the watch began.
    bool isEvent = *aChange && mObjectVersion != 0;
    mConfirmedAt = isEvent ? mHeardAt : std::min(mHeardAt, mCalledAt + mWait);
    if (*aChange) {
      mObjectVersion = (*aChange)->mVersion;
    }
  }
  if (regained) {
    LogEvent(LogLevel::Info, "store_regained", {});
  }
  if (*aChange) {
    Accept((*aChange)->mValue, "store");
  }
  OnTick();
}

void InventoryWatch::OnFailure(std::uint64_t aCall, const Error& aWhy)
{
  if (!EndCall(aCall)) {
    return;
  }
  bool lost = false;
  {
    std::lock_guard lock(mLock);
    mNextAt = mClock.Now() + mBackoff.Next();
    mObjectVersion = 0;
    // No routes yet is an answer: the store is there.
    lost =
      aWhy.mKind != ErrorKind::NotFound && !std::exchange(mStoreLost, true);
  }
  if (lost) {
    LogEvent(LogLevel::Warning, "store_lost", { { "why", aWhy.Describe() } });
  }
}

bool InventoryWatch::OnPeerDocument(const std::string& aDocument)
{
  return Accept(aDocument, "peer");
}

/** Failure met: a late answer, a stale read or a slow peer brings a version
 * below the one in force, and routes that were dropped serve again. */
bool InventoryWatch::Accept(const std::string& aDocument,
                            std::string_view aSource)
{
  auto inventory = mReader.Read(aDocument);
  if (!inventory) {
    LogEvent(
      LogLevel::Error, "routes_unreadable",
      { { "source", aSource }, { "why", inventory.error().Describe() } });
    return false;
  }
  {
    std::lock_guard lock(mLock);
    if ((*inventory)->mVersion <= mVersion) {
      return true;
    }
    mVersion = (*inventory)->mVersion;
    mDocument = aDocument;
  }
  LogEvent(LogLevel::Info, "routes_in_force",
           { { "version", (*inventory)->mVersion },
             { "routes", (*inventory)->mRoutes.size() },
             { "source", aSource } });
  mOnInventory(std::move(*inventory), aDocument);
  return true;
}

std::uint64_t InventoryWatch::Version() const
{
  std::lock_guard lock(mLock);
  return mVersion;
}

std::string InventoryWatch::Document() const
{
  std::lock_guard lock(mLock);
  return mDocument;
}

bool InventoryWatch::IsStoreLost() const
{
  std::lock_guard lock(mLock);
  return mStoreLost;
}

Time InventoryWatch::ConfirmedAt() const
{
  std::lock_guard lock(mLock);
  return mConfirmedAt;
}

Time InventoryWatch::HeardAt() const
{
  std::lock_guard lock(mLock);
  return mHeardAt;
}

} // namespace heatherplank
