#include "src/passthrough/InventoryExchange.h"

#include <algorithm>
#include <utility>

#include "src/base/Compression.h"
#include "src/base/Log.h"
#include "src/process/MessageSender.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

namespace {

/** The largest text of routes that is taken from a peer; the store's values
 * are smaller. */
constexpr std::size_t kLargestText = std::size_t{ 4 } * 1024 * 1024;

} // namespace

InventoryExchange::InventoryExchange(Parts aParts)
  : mParts(std::move(aParts))
  , mDuty(mParts.mDuty)
  , mPeers(mParts.mPeers)
  , mWatch(InventoryWatch::Make(
      mParts.mClock, mParts.mStore, mParts.mReader, mParts.mWatch,
      [this](FlowInventoryPtr aInventory, const std::string&) {
        OnInventory(std::move(aInventory));
      }))
  , mDrains(DrainWatch::Make(
      mParts.mClock, mParts.mStore, mParts.mDrainWatch,
      [this](const DataCentreDrains& aDrains) { OnDrains(aDrains); }))
{
}

void InventoryExchange::OnTick()
{
  Time now = mParts.mClock.Now();
  auto balancers = mParts.mBalancers();
  JudgeDuty(balancers, now);
  mWatch->OnTick();
  mDrains->OnTick();
  // A read of one object does not tell the store's version.
  mDrains->OnStoreVersion(mParts.mStore.SeenVersion(), mWatch->WatchedAt());
  Send(mPeers.OnTick(PeerAddresses(balancers), WhatIsKnown(now), now));
}

void InventoryExchange::JudgeDuty(std::span<const Member> aBalancers, Time aNow)
{
  auto wait =
    mDuty.WatchFor(aBalancers, KnowsAll(), mPeers.IsAsking(aNow), aNow);
  mWatch->SetWatchFor(wait);
  // While the store is away one kind of call is enough to find it again.
  mDrains->SetWatches(wait && !mWatch->IsStoreLost());
  if (wait.has_value() != mWatches) {
    mWatches = wait.has_value();
    LogEvent(
      LogLevel::Info, mWatches ? "store_watched" : "store_left_to_others",
      { { "balancers", aBalancers.size() }, { "routes_version", Version() } });
  }
}

Time InventoryExchange::ConfirmedAt() const
{
  Time here = std::min(mWatch->ConfirmedAt(), mDrains->ConfirmedAt());
  return std::max(here, mDuty.ConfirmedAt().value_or(Time{}));
}

InventoryPeers::Known InventoryExchange::WhatIsKnown(Time aNow) const
{
  InventoryPeers::Known out;
  out.mVersion = Version();
  out.mDrains = mDrains->Drains();
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
  mWaiting = std::move(aInventory);
  mDrains->ReadFirst();
  PutInForce();
  TellPeers();
}

void InventoryExchange::OnDrains(const DataCentreDrains& aDrains)
{
  mParts.mOnDrains(aDrains);
  PutInForce();
  TellPeers();
}

void InventoryExchange::PutInForce()
{
  if (mWaiting && mDrains->IsKnown()) {
    mParts.mOnInventory(std::exchange(mWaiting, nullptr));
  }
}

void InventoryExchange::TellPeers()
{
  Time now = mParts.mClock.Now();
  Send(mPeers.OnChanged(PeerAddresses(mParts.mBalancers()), WhatIsKnown(now),
                        now));
}

void InventoryExchange::OnNotice(const InventoryNotice& aNotice)
{
  Time now = mParts.mClock.Now();
  mDrains->OnPeer(aNotice.mDrains);
  if (InventoryPeers::IsOwedDocument(aNotice, Version())) {
    GiveDocument(aNotice, now);
    return;
  }
  bool isAllHere = Version() != 0 && aNotice.mVersion <= Version() &&
                   aNotice.mDrains.mVersion >= mDrains->Drains().mVersion;
  if (aNotice.mConfirmedAgo && isAllHere) {
    mDuty.OnConfirmed(now - *aNotice.mConfirmedAgo);
  }
  Send(mPeers.OnNotice(aNotice, WhatIsKnown(now), now));
}

void InventoryExchange::GiveDocument(const InventoryNotice& aNotice, Time aNow)
{
  std::size_t size = Packed().size();
  bool given = mPeers.TakeLink(size, aNow);
  LogEvent(LogLevel::Info, given ? "routes_given" : "routes_not_given_now",
           { { "to", aNotice.mControl.ToString() },
             { "their_version", aNotice.mVersion },
             { "version", Version() },
             { "bytes", size } });
  if (given) {
    mParts.mMessages.Send(aNotice.mControl, MessageKind::InventoryDocument,
                          EncodePayload(mPacked));
  } else {
    Send({ mPeers.Busy(aNotice, WhatIsKnown(aNow)) });
  }
}

/** Packed once a version: it takes a machine with a small share of a core some
 * 10 ms. */
const Bytes& InventoryExchange::Packed()
{
  if (mPacked.mVersion != Version()) {
    mPacked = { Version(), Compress(mWatch->Document()) };
  }
  return mPacked.mPacked;
}

void InventoryExchange::OnDocument(const InventoryDocument& aDocument)
{
  auto text = Decompress(aDocument.mPacked, kLargestText);
  if (!text) {
    LogEvent(LogLevel::Error, "routes_unreadable",
             { { "source", "peer" }, { "why", text.error().Describe() } });
  }
  mPeers.OnDocument(text && mWatch->OnPeerDocument(*text));
}

void InventoryExchange::Send(const std::vector<InventoryPeers::Send>& aNotices)
{
  for (const auto& it : aNotices) {
    mParts.mMessages.Send(it.mTo, MessageKind::InventoryNotice,
                          EncodePayload(it.mNotice));
  }
}

} // namespace heatherplank
