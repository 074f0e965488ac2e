#include "src/config/ConfigTransfer.h"

#include <string_view>
#include <utility>

namespace heatherplank {

namespace {

/** An offer with more changes than this carries none: it is sent to several
 * balancers, most of which would not need the list. */
constexpr std::size_t kMaxChanges = 32;

} // namespace

ConfigTransfer::ConfigTransfer(ConfigurationHead aHead,
                               const ConfigTransfer& aPrevious)
  : mHead(std::move(aHead))
  , mText(SerializeHead(mHead))
  , mRoot(HashPart(mText))
{
  for (const auto& it : mHead.mParts) {
    if (Part part = aPrevious.FindPart(it.mHash)) {
      mParts.emplace(it.mHash, std::move(part));
    } else {
      mMissing.emplace(it.mHash, it);
    }
  }
}

bool ConfigTransfer::AddPart(std::string aPart)
{
  PartHash hash = HashPart(aPart);
  if (mMissing.erase(hash) == 0) {
    return false;
  }
  mParts.emplace(hash, std::make_shared<const std::string>(std::move(aPart)));
  return true;
}

ConfigTransfer::Part ConfigTransfer::FindPart(const PartHash& aHash) const
{
  auto it = mParts.find(aHash);
  return it == mParts.end() ? nullptr : it->second;
}

Result<ConfigurationPtr> ConfigTransfer::Assemble(
  ConfigurationAssembler& aAssembler) const
{
  std::vector<std::string_view> texts;
  texts.reserve(mHead.mParts.size());
  for (const auto& it : mHead.mParts) {
    texts.push_back(*mParts.at(it.mHash));
  }
  return aAssembler.Assemble(mHead, texts);
}

ConfigOffer ConfigTransfer::MakeOffer(const ConfigTransfer& aBase) const
{
  ConfigOffer out;
  out.mVersion = Version();
  out.mRoot = mRoot;
  const auto& before = aBase.mHead.mParts;
  if (before.size() != mHead.mParts.size()) {
    return out;
  }
  std::vector<PartChange> changes;
  for (std::uint32_t i = 0; i < before.size(); ++i) {
    if (before[i] != mHead.mParts[i]) {
      changes.push_back({ i, mHead.mParts[i] });
    }
  }
  if (changes.size() > kMaxChanges) {
    return out;
  }
  out.mBaseRoot = aBase.mRoot;
  out.mAuthor = mHead.mAuthor;
  out.mTimeMs = mHead.mTimeMs;
  out.mNonce = mHead.mNonce;
  out.mChanges = std::move(changes);
  return out;
}

std::optional<ConfigurationHead> ConfigTransfer::ApplyOffer(
  const ConfigOffer& aOffer) const
{
  if (Version() == 0 || aOffer.mBaseRoot != mRoot) {
    return std::nullopt;
  }
  ConfigurationHead out = mHead;
  out.mVersion = aOffer.mVersion;
  out.mAuthor = aOffer.mAuthor;
  out.mTimeMs = aOffer.mTimeMs;
  out.mNonce = aOffer.mNonce;
  for (const auto& it : aOffer.mChanges) {
    if (it.mIndex >= out.mParts.size()) {
      return std::nullopt;
    }
    out.mParts[it.mIndex] = it.mPart;
  }
  return HashPart(SerializeHead(out)) == aOffer.mRoot ? std::optional(out)
                                                      : std::nullopt;
}

} // namespace heatherplank
