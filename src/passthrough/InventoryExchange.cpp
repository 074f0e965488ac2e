#include "src/passthrough/InventoryExchange.h"

#include <algorithm>
#include <utility>

#include "src/base/Compression.h"
#include "src/base/Log.h"
#include "src/process/MessageSender.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

/** Largest routes text accepted from a peer; the store's values are smaller. */
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 4 } * 1024 * 1024;

/** Shares of the time within which changes must be in force. */
constexpr int kWatcherPatiencePercent = 15;
constexpr int kPatiencePercent = 30;

PeerLag::Options MakeLagOptions(Duration aPropagationTimeout)
{
  return { aPropagationTimeout * kWatcherPatiencePercent / 100,
           aPropagationTimeout * kPatiencePercent / 100 };
}

std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

InventoryExchange::InventoryExchange(Parts aParts)
  : mParts(std::move(aParts))
  , mWatcherSelection(mParts.mWatcherSelection)
  , mPeers(mParts.mPeers)
  , mWatch(InventoryWatch::Make(
      mParts.mClock, mParts.mStore, mParts.mReader, mParts.mWatch,
      [this](FlowInventoryPtr aInventory, const std::string&) {
        OnInventory(std::move(aInventory));
      }))
  , mDrains(DrainWatch::Make(
      mParts.mClock, mParts.mStore, mParts.mDrainWatch,
      [this](const DataCentreDrains& aDrains) { OnDrains(aDrains); }))
  , mAge(mParts.mWatcherSelection.mPropagationTimeout)
  , mPeerLag(MakeLagOptions(mParts.mWatcherSelection.mPropagationTimeout))
  , mVersions(mParts.mFlowLifetime)
{
}

void InventoryExchange::OnTick()
{
  Time now = mParts.mClock.Now();
  auto balancers = mParts.mBalancers();
  UpdateWatch(balancers, now);
  ReadIfWatchSeemsSilent(now);
  mWatch->OnTick();
  mDrains->OnTick();
  // The response to a read of one object does not carry the store's version, so
  // only the time of the last watch counts.
  StoreVersion seen = mParts.mStore.LastSeenVersion();
  mDrains->OnStoreVersion(seen, mWatch->WatchedAt());
  OnStoreEra(seen.mEra, "store");
  UpdateAge(now);
  Send(mPeers.OnTick(PeerAddresses(balancers), MakeLocalState(now), now));
}

/** Tells peers of a later era at once: most balancers do not call the store,
 * and what they wrote to it may be gone. */
void InventoryExchange::OnStoreEra(std::uint64_t aEra, std::string_view aSource)
{
  if (aEra <= mStoreEra) {
    return;
  }
  LogEvent(LogLevel::Info, "store_era",
           { { "era", aEra }, { "before", mStoreEra }, { "source", aSource } });
  mStoreEra = aEra;
  NotifyPeers();
}

void InventoryExchange::UpdateWatch(std::span<const Member> aBalancers,
                                    Time aNow)
{
  auto wait = mWatcherSelection.NextWatchWait(
    aBalancers, HasRoutesAndDrains(), mPeers.IsDocumentPending(aNow), aNow);
  mWatch->SetWatchWait(wait);
  // While the store is unavailable, one kind of call detects its return.
  mDrains->SetWatching(wait && !mWatch->IsStoreLost());
  if (wait.has_value() != mIsWatching) {
    mIsWatching = wait.has_value();
    LogEvent(
      LogLevel::Info, mIsWatching ? "store_watched" : "store_left_to_others",
      { { "balancers", aBalancers.size() }, { "routes_version", Version() } });
  }
}

Time InventoryExchange::ConfirmedAt() const
{
  Time local = std::min(mWatch->ConfirmedAt(), mDrains->ConfirmedAt());
  return std::max(local, mWatcherSelection.ConfirmedAt().value_or(Time{}));
}

/** Whether routes that peers announced are overdue here. */
bool InventoryExchange::IsBehindPeers(Time aNow)
{
  return mParts.mWatcherSelection.mGuards.mReadIfBehindPeers &&
         mPeerLag.ShouldRead(Version(), mIsWatching, aNow);
}

/** Reads the store instead of waiting for a watch that seems to be silent. A
 * read that is pending, or delayed after a failure, is left alone: the store
 * would be called too often. */
void InventoryExchange::ReadIfWatchSeemsSilent(Time aNow)
{
  bool isBehind = IsBehindPeers(aNow);
  bool isWatchPending = mWatch->IsWatchPending();
  bool isUnconfirmed =
    isWatchPending &&
    mWatcherSelection.ShouldAbandonWatch(ConfirmedAt(), PendingCallAge(), aNow);
  bool isReading = mIsWatching ? !isWatchPending : mWatch->IsReadPending();
  if (isReading || (!isBehind && !isUnconfirmed)) {
    return;
  }
  LogEvent(LogLevel::Warning, "routes_overdue",
           { { "version", Version() },
             { "why", isBehind ? "announced by a peer" : "unconfirmed" },
             { "store_call_pending_ms", ToMilliseconds(PendingCallAge()) } });
  mWatch->ReadNow();
}

void InventoryExchange::UpdateAge(Time aNow)
{
  using Transition = ConfirmationAge::Transition;
  Time confirmedAt = ConfirmedAt();
  if (confirmedAt == Time{}) {
    return;
  }
  Transition transition = mAge.OnTick(confirmedAt, aNow);
  if (transition == Transition::None) {
    return;
  }
  bool isExpired = transition == Transition::Expired;
  LogEvent(isExpired ? LogLevel::Warning : LogLevel::Info,
           isExpired ? "routes_unconfirmed" : "routes_confirmed",
           { { "version", Version() },
             { "confirmed_ms_ago", ToMilliseconds(mAge.Current()) },
             { "store_call_pending_ms", ToMilliseconds(PendingCallAge()) } });
}

InventoryPeers::LocalState InventoryExchange::MakeLocalState(Time aNow)
{
  InventoryPeers::LocalState out;
  out.mVersion = Version();
  out.mDrains = mDrains->Drains();
  out.mStoreEra = mStoreEra;
  out.mVersions = mVersions.List(aNow);
  if (ConfirmedAt() != Time{}) {
    out.mConfirmedAgo = aNow - ConfirmedAt();
  }
  return out;
}

std::vector<Address> InventoryExchange::PeerAddresses(
  std::span<const Member> aBalancers) const
{
  std::vector<Address> out;
  for (const Member& it : aBalancers) {
    out.push_back(it.mControl);
  }
  return out.empty() ? mParts.mSeeds() : out;
}

void InventoryExchange::ReadNow()
{
  mWatch->ReadNow();
  mDrains->ReadNow();
}

void InventoryExchange::OnInventory(FlowInventoryPtr aInventory)
{
  mPendingInventory = std::move(aInventory);
  mDrains->ReadIfUnknown();
  ApplyPendingInventory();
  NotifyPeers();
}

void InventoryExchange::OnDrains(const DataCentreDrains& aDrains)
{
  mParts.mOnDrains(aDrains);
  ApplyPendingInventory();
  NotifyPeers();
}

void InventoryExchange::ApplyPendingInventory()
{
  if (mPendingInventory && mDrains->IsKnown()) {
    mVersions.OnInForce(mPendingInventory->mVersion, mParts.mClock.Now());
    mParts.mOnInventory(std::exchange(mPendingInventory, nullptr));
  }
}

bool InventoryExchange::HasMissedRoutes()
{
  return mVersions.HasMissed(mParts.mClock.Now());
}

std::uint64_t InventoryExchange::NewestSkippedRoutes()
{
  return mVersions.NewestSkipped(mParts.mClock.Now());
}

void InventoryExchange::NotifyPeers()
{
  Time now = mParts.mClock.Now();
  Send(mPeers.OnChanged(PeerAddresses(mParts.mBalancers()), MakeLocalState(now),
                        now));
}

void InventoryExchange::OnNotice(const InventoryNotice& aNotice)
{
  Time now = mParts.mClock.Now();
  OnStoreEra(aNotice.mStoreEra, "peer");
  mDrains->OnPeerDrains(aNotice.mDrains);
  if (aNotice.mVersion != 0) {
    mVersions.OnPeer(aNotice.mVersions, now);
    mParts.mOnPastServices(aNotice.mPastServices);
  }
  mPeerLag.OnAnnounced(aNotice.mVersion, Version(), now);
  if (InventoryPeers::ShouldSendDocument(aNotice, Version())) {
    SendDocument(aNotice, now);
    return;
  }
  bool confirmsLocalState =
    Version() != 0 && aNotice.mVersion <= Version() &&
    aNotice.mDrains.mVersion >= mDrains->Drains().mVersion;
  if (aNotice.mConfirmedAgo && confirmsLocalState) {
    mWatcherSelection.OnConfirmed(now - *aNotice.mConfirmedAgo);
  }
  Send(mPeers.OnNotice(aNotice, MakeLocalState(now), now));
}

void InventoryExchange::SendDocument(const InventoryNotice& aNotice, Time aNow)
{
  std::size_t size = PackedDocument().size();
  bool isSent = mPeers.ReserveLink(size, aNow);
  LogEvent(LogLevel::Info, isSent ? "routes_given" : "routes_not_given_now",
           { { "to", aNotice.mControl.ToString() },
             { "their_version", aNotice.mVersion },
             { "version", Version() },
             { "bytes", size } });
  if (isSent) {
    mParts.mMessages.Send(aNotice.mControl, MessageKind::InventoryDocument,
                          EncodePayload(mPacked));
  } else {
    Send({ mPeers.MakeBusyNotice(aNotice, MakeLocalState(aNow)) });
  }
}

/** Compresses once per version: on a VM with a small share of a core it takes
 * about 10 ms. */
const Bytes& InventoryExchange::PackedDocument()
{
  if (mPacked.mVersion != Version()) {
    mPacked = { Version(), Compress(mWatch->Document()) };
  }
  return mPacked.mPacked;
}

void InventoryExchange::OnDocument(const InventoryDocument& aDocument)
{
  auto text = Decompress(aDocument.mPacked, kMaxDocumentBytes);
  if (!text) {
    LogEvent(LogLevel::Error, "routes_unreadable",
             { { "source", "peer" }, { "why", text.error().Describe() } });
  }
  mPeers.OnDocument(text && mWatch->OnPeerDocument(*text));
}

void InventoryExchange::Send(
  const std::vector<InventoryPeers::OutgoingNotice>& aNotices)
{
  for (const auto& it : aNotices) {
    if (it.mNotice.mWantsDocument) {
      LogEvent(
        LogLevel::Info, "routes_requested",
        { { "from", it.mTo.ToString() }, { "version", it.mNotice.mVersion } });
    }
    mParts.mMessages.Send(it.mTo, MessageKind::InventoryNotice,
                          EncodePayload(it.mNotice));
  }
}

} // namespace heatherplank
