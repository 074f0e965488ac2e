#include "src/passthrough/InventoryWatch.h"

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
  , mSchedule(mOptions.mSchedule)
{
}

void InventoryWatch::SetWatchWait(std::optional<WatchSchedule::WatchWait> aWait)
{
  std::lock_guard lock(mLock);
  mSchedule.SetWatchWait(aWait);
}

void InventoryWatch::OnTick()
{
  std::optional<WatchSchedule::Call> call;
  {
    std::lock_guard lock(mLock);
    call = mSchedule.Next(mClock.Now());
  }
  if (!call) {
    return;
  }
  if (!call->mAfter.IsKnown()) {
    Read(*call);
  } else {
    Watch(*call);
  }
}

void InventoryWatch::ReadNow()
{
  {
    std::lock_guard lock(mLock);
    mSchedule.ReadNow(mClock.Now());
  }
  mStore.RenewConnections();
  OnTick();
}

void InventoryWatch::Read(const WatchSchedule::Call& aCall)
{
  mStore.Get(mOptions.mKey,
             [self = shared_from_this(), aCall](Result<Object> aObject) {
               self->OnAnswer(aCall, std::move(aObject).map([](Object&& aIt) {
                 return std::optional(std::move(aIt));
               }));
             });
}

void InventoryWatch::Watch(const WatchSchedule::Call& aCall)
{
  mStore.Watch(
    mOptions.mKey, aCall.mAfter, aCall.mWait,
    [self = shared_from_this(), aCall](Result<std::optional<Object>> aChange) {
      self->OnAnswer(aCall, std::move(aChange));
    });
}

void InventoryWatch::OnAnswer(const WatchSchedule::Call& aCall,
                              Result<std::optional<Object>> aChange)
{
  if (!aChange) {
    OnFailure(aCall, aChange.error());
    return;
  }
  auto effect = WatchSchedule::Effect::Stale;
  {
    std::lock_guard lock(mLock);
    effect = mSchedule.OnAnswer(aCall.mId, aChange->has_value(),
                                *aChange ? (*aChange)->mVersion : aCall.mAfter,
                                mClock.Now());
  }
  if (effect == WatchSchedule::Effect::Stale) {
    return;
  }
  if (effect == WatchSchedule::Effect::StoreRegained) {
    LogEvent(LogLevel::Info, "store_regained", {});
  }
  if (*aChange) {
    Accept((*aChange)->mValue, "store");
  }
  OnTick();
}

void InventoryWatch::OnFailure(const WatchSchedule::Call& aCall,
                               const Error& aWhy)
{
  auto effect = WatchSchedule::Effect::Stale;
  Duration pending{};
  {
    std::lock_guard lock(mLock);
    pending = mSchedule.PendingCallAge(mClock.Now());
    // NotFound is a response: the store is available but has no routes yet.
    effect = mSchedule.OnFailure(aCall.mId, aWhy.mKind == ErrorKind::NotFound,
                                 mClock.Now());
  }
  if (effect == WatchSchedule::Effect::StoreLost) {
    LogEvent(LogLevel::Warning, "store_lost",
             { { "why", aWhy.Describe() },
               { "call", aCall.mAfter.IsKnown() ? "watch" : "read" },
               { "pending_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(pending)
                   .count() } });
  }
}

bool InventoryWatch::OnPeerDocument(const std::string& aDocument)
{
  return Accept(aDocument, "peer");
}

/** Guards against: a delayed response, a stale read or a slow peer delivers a
 * version below the one in force, and deleted routes are served again. The
 * version check rejects it. */
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
  return mSchedule.IsStoreLost();
}

Time InventoryWatch::ConfirmedAt() const
{
  std::lock_guard lock(mLock);
  return mSchedule.ConfirmedAt();
}

Time InventoryWatch::WatchedAt() const
{
  std::lock_guard lock(mLock);
  return mSchedule.WatchedAt();
}

Duration InventoryWatch::PendingCallAge() const
{
  std::lock_guard lock(mLock);
  return mSchedule.PendingCallAge(mClock.Now());
}

bool InventoryWatch::IsReadPending() const
{
  std::lock_guard lock(mLock);
  return mSchedule.IsReadPending();
}

bool InventoryWatch::IsWatchPending() const
{
  std::lock_guard lock(mLock);
  return mSchedule.IsWatchPending();
}

Time InventoryWatch::LastAnswerAt() const
{
  std::lock_guard lock(mLock);
  return mSchedule.LastAnswerAt();
}

} // namespace heatherplank
