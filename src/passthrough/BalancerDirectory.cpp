#include "src/passthrough/BalancerDirectory.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/hex.hpp>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

constexpr std::size_t kAddressBytes = 18;

} // namespace

std::shared_ptr<BalancerDirectory> BalancerDirectory::Make(ObjectStore& aStore,
                                                           Options aOptions,
                                                           OnFound aOnFound)
{
  return std::shared_ptr<BalancerDirectory>(
    new BalancerDirectory(aStore, std::move(aOptions), std::move(aOnFound)));
}

BalancerDirectory::BalancerDirectory(ObjectStore& aStore, Options aOptions,
                                     OnFound aOnFound)
  : mStore(aStore)
  , mOptions(std::move(aOptions))
  , mOnFound(std::move(aOnFound))
  , mRandom(mOptions.mSeed)
  , mRegisterBackoff(kInitialBackoff, kMaxBackoff, mOptions.mSeed)
  , mListBackoff(kInitialBackoff, kMaxBackoff, mOptions.mSeed + 1)
{
}

std::string BalancerDirectory::NameOf(const Address& aAddress)
{
  std::string bytes(aAddress.mIp.begin(), aAddress.mIp.end());
  bytes += static_cast<char>(aAddress.mPort >> 8U);
  bytes += static_cast<char>(aAddress.mPort & 255U);
  return boost::algorithm::hex_lower(bytes);
}

std::optional<Address> BalancerDirectory::Parse(std::string_view aName)
{
  bool isHex =
    aName.size() == 2 * kAddressBytes &&
    aName.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (!isHex) {
    return std::nullopt;
  }
  std::string bytes = boost::algorithm::unhex(std::string(aName));
  Address out;
  std::copy_n(bytes.begin(), out.mIp.size(), out.mIp.begin());
  out.mPort =
    static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[16]) << 8U |
                               static_cast<std::uint8_t>(bytes[17]));
  return out.mPort == 0 ? std::nullopt : std::optional(out);
}

std::string BalancerDirectory::SelfKey() const
{
  return mOptions.mKind + "/" + NameOf(*mOptions.mSelf);
}

void BalancerDirectory::OnTick(const Situation& aSituation, Time aNow)
{
  RegisterIfDue(aSituation, aNow);
  if (!aSituation.mHasNoPeers) {
    mListBackoff.Reset();
  } else if (!mListing && aNow >= mNextListAt) {
    ListEntries(aNow);
  }
}

void BalancerDirectory::RegisterIfDue(const Situation& aSituation, Time aNow)
{
  bool wanted = aSituation.mHasEntry || aSituation.mHasNoPeers;
  if (!mOptions.mSelf || !wanted || mRegistering || mLeft) {
    return;
  }
  if (mRegisteredEra && *mRegisteredEra < aSituation.mStoreEra) {
    std::uniform_int_distribution<Duration::rep> delay(0,
                                                       kRestoreSpread.count());
    mNextRegisterAt = aNow + Duration(delay(mRandom));
    mRegisteredEra.reset();
  }
  if (!mRegisteredEra && aNow >= mNextRegisterAt) {
    Register(aNow);
  }
}

void BalancerDirectory::Register(Time aNow)
{
  mRegistering = true;
  mNextRegisterAt = aNow + mRegisterBackoff.Next();
  mStore.Put(SelfKey(), "{}", WriteCondition::IfAbsent(),
             [self = shared_from_this()](Result<StoreVersion> aWritten) {
               self->mRegistering = false;
               // On a conflict the entry exists already, from an earlier start
               // or from a write whose answer was lost.
               if (aWritten || aWritten.error().mKind == ErrorKind::Conflict) {
                 self->mRegisteredEra = self->mStore.LastSeenVersion().mEra;
                 self->mRegisterBackoff.Reset();
               }
             });
}

void BalancerDirectory::ListEntries(Time aNow)
{
  mListing = true;
  mNextListAt = aNow + kInitialBackoff + mListBackoff.Next();
  mStore.List(mOptions.mKind + "/", [self = shared_from_this()](
                                      Result<std::vector<ObjectName>> aNames) {
    self->mListing = false;
    if (aNames) {
      self->OnListed(*aNames);
    }
  });
}

void BalancerDirectory::OnListed(const std::vector<ObjectName>& aNames)
{
  std::vector<Address> found;
  for (const ObjectName& it : aNames) {
    auto slash = it.mKey.find('/');
    auto address = slash == std::string::npos
                     ? std::nullopt
                     : Parse(std::string_view(it.mKey).substr(slash + 1));
    if (address && address != mOptions.mSelf) {
      found.push_back(*address);
    }
  }
  std::shuffle(found.begin(), found.end(), mRandom);
  found.resize(std::min(found.size(), kMaxFound));
  LogEvent(LogLevel::Info, "directory_read",
           { { "entries", aNames.size() }, { "taken", found.size() } });
  if (!found.empty()) {
    mOnFound(std::move(found));
  }
}

void BalancerDirectory::Leave()
{
  mLeft = true;
  if (mOptions.mSelf && mRegisteredEra) {
    // If this fails, a stale entry remains; it costs other processes some
    // datagrams only.
    mStore.Delete(SelfKey(), WriteCondition::Always(),
                  [](const Result<StoreVersion>&) {});
  }
}

} // namespace heatherplank
