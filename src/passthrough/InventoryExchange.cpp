#include "src/passthrough/InventoryExchange.h"

#include <utility>

#include "src/process/MessageSender.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

InventoryExchange::InventoryExchange(Parts aParts)
  : mParts(std::move(aParts))
  , mPeers(mParts.mSelf, mParts.mOptions.mSeed)
  , mWatch(InventoryWatch::Make(
      mParts.mClock, mParts.mStore, mParts.mReader, mParts.mOptions,
      [this](FlowInventoryPtr aInventory, const std::string&) {
        OnInventory(std::move(aInventory));
      }))
{
}

void InventoryExchange::OnTick()
{
  mWatch->OnTick();
  Send(mPeers.OnTick(mParts.mPeers(), Version(), mParts.mClock.Now()));
}

void InventoryExchange::OnInventory(FlowInventoryPtr aInventory)
{
  std::uint64_t version = aInventory->mVersion;
  mParts.mOnInventory(std::move(aInventory));
  Send(mPeers.OnChanged(mParts.mPeers(), version, mParts.mClock.Now()));
}

void InventoryExchange::OnNotice(const InventoryNotice& aNotice)
{
  if (InventoryPeers::IsOwedDocument(aNotice, Version())) {
    mParts.mMessages.Send(
      aNotice.mControl, MessageKind::InventoryDocument,
      EncodePayload(InventoryDocument{ Version(), mWatch->Document() }));
    return;
  }
  Send(mPeers.OnNotice(aNotice, Version(), mParts.mClock.Now()));
}

void InventoryExchange::OnDocument(const InventoryDocument& aDocument)
{
  mWatch->OnPeerDocument(aDocument.mText);
}

void InventoryExchange::Send(const std::vector<InventoryPeers::Send>& aNotices)
{
  for (const auto& it : aNotices) {
    mParts.mMessages.Send(it.mTo, MessageKind::InventoryNotice,
                          EncodePayload(it.mNotice));
  }
}

} // namespace heatherplank
