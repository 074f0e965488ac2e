#include "src/store/SyncObjectStore.h"

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "src/store/CallLimits.h"

namespace heatherplank {

namespace {

/** Reads on the way at once; enough to fill the client's connections. */
constexpr std::size_t kReadsAtOnce = 16;

/** Starts a call; its outcome comes out of the future. */
template<typename T, typename Start>
std::future<Result<T>> Begin(Start aStart)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto out = promise->get_future();
  aStart(
    [promise](Result<T> aResult) { promise->set_value(std::move(aResult)); });
  return out;
}

enum class Repeat
{
  /** A read: another try does no harm. */
  Always,
  /** A write: only if it surely took no effect. */
  IfNotDone,
};

bool MayRepeat(const Error& aError, Repeat aRepeat)
{
  return aError.mKind == ErrorKind::Unavailable ||
         (aError.mKind == ErrorKind::Timeout && aRepeat == Repeat::Always);
}

/** A read that got no answer changed nothing: operators must not be told that
 * it may have. */
template<typename T>
Result<T> WithoutEffect(Result<T> aResult)
{
  if (!aResult && aResult.error().mKind == ErrorKind::Timeout) {
    return Fail(ErrorKind::Unavailable, aResult.error().mMessage,
                "nothing was changed; look at the platform, then try again");
  }
  return aResult;
}

template<typename T, typename Start>
Result<T> CallUntilDone(const SyncObjectStore::Options& aOptions,
                        Repeat aRepeat, Start aStart)
{
  Backoff backoff(aOptions.mFirstPause, aOptions.mLongestPause, aOptions.mSeed);
  for (unsigned attempt = 1;; ++attempt) {
    Result<T> result = Begin<T>(aStart).get();
    if (result || attempt >= aOptions.mAttempts ||
        !MayRepeat(result.error(), aRepeat)) {
      return aRepeat == Repeat::Always ? WithoutEffect(std::move(result))
                                       : result;
    }
    aOptions.mPause(backoff.Next());
  }
}

} // namespace

SyncObjectStore::SyncObjectStore(ObjectStore& aStore, Options aOptions)
  : mStore(&aStore)
  , mOptions(std::move(aOptions))
{
  if (!mOptions.mPause) {
    mOptions.mPause = [](Duration aFor) { std::this_thread::sleep_for(aFor); };
  }
}

Result<Object> SyncObjectStore::Get(std::string_view aKey)
{
  return CallUntilDone<Object>(mOptions, Repeat::Always,
                               [&](ObjectStore::Done<Object> aDone) {
                                 mStore->Get(aKey, std::move(aDone));
                               });
}

Result<std::uint64_t> SyncObjectStore::Put(std::string_view aKey,
                                           const std::string& aValue,
                                           WriteCondition aCondition)
{
  return CallUntilDone<std::uint64_t>(
    mOptions, Repeat::IfNotDone, [&](ObjectStore::Done<std::uint64_t> aDone) {
      mStore->Put(aKey, aValue, aCondition, std::move(aDone));
    });
}

Result<std::uint64_t> SyncObjectStore::Delete(std::string_view aKey,
                                              WriteCondition aCondition)
{
  return CallUntilDone<std::uint64_t>(
    mOptions, Repeat::IfNotDone, [&](ObjectStore::Done<std::uint64_t> aDone) {
      mStore->Delete(aKey, aCondition, std::move(aDone));
    });
}

Result<std::vector<ObjectName>> SyncObjectStore::List(std::string_view aPrefix)
{
  return CallUntilDone<std::vector<ObjectName>>(
    mOptions, Repeat::Always,
    [&](ObjectStore::Done<std::vector<ObjectName>> aDone) {
      mStore->List(aPrefix, std::move(aDone));
    });
}

Result<std::vector<Object>> SyncObjectStore::GetAll(
  const std::vector<std::string>& aKeys)
{
  std::vector<Object> out;
  out.reserve(aKeys.size());
  for (std::size_t first = 0; first < aKeys.size(); first += kReadsAtOnce) {
    std::size_t end = std::min(aKeys.size(), first + kReadsAtOnce);
    std::vector<std::future<Result<Object>>> reads;
    for (std::size_t i = first; i < end; ++i) {
      reads.push_back(Begin<Object>([&](ObjectStore::Done<Object> aDone) {
        mStore->Get(aKeys[i], std::move(aDone));
      }));
    }
    for (std::size_t i = first; i < end; ++i) {
      Result<Object> read = reads[i - first].get();
      if (!read && MayRepeat(read.error(), Repeat::Always)) {
        read = Get(aKeys[i]);
      }
      if (!read) {
        return tl::unexpected(read.error());
      }
      out.push_back(std::move(*read));
    }
  }
  return out;
}

} // namespace heatherplank
