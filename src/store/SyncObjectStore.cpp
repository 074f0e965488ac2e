#include "src/store/SyncObjectStore.h"

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "src/store/CallLimits.h"

namespace heatherplank {

namespace {

/** Reads in flight at once; enough to use all of the client's connections. */
constexpr std::size_t kMaxParallelReads = 16;

/** Starts a call and returns the future of its result. */
template<typename T, typename Start>
std::future<Result<T>> StartCall(Start aStart)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto out = promise->get_future();
  aStart(
    [promise](Result<T> aResult) { promise->set_value(std::move(aResult)); });
  return out;
}

enum class RetryPolicy
{
  /** A read: a retry is always safe. */
  Always,
  /** A write: retried only if it certainly took no effect. */
  IfNotDone,
};

bool MayRetry(const Error& aError, RetryPolicy aPolicy)
{
  return aError.mKind == ErrorKind::Unavailable ||
         (aError.mKind == ErrorKind::Timeout && aPolicy == RetryPolicy::Always);
}

/** Replaces Timeout, whose remedy says that the call may have taken effect: a
 * read changes nothing, and operators must not be told that it may have. */
template<typename T>
Result<T> TimeoutToUnavailable(Result<T> aResult)
{
  if (!aResult && aResult.error().mKind == ErrorKind::Timeout) {
    return Fail(ErrorKind::Unavailable, aResult.error().mMessage,
                "nothing was changed; check the object store, then retry");
  }
  return aResult;
}

template<typename T, typename Start>
Result<T> CallWithRetries(const SyncObjectStore::Options& aOptions,
                          RetryPolicy aPolicy, Start aStart)
{
  Backoff backoff(aOptions.mInitialBackoff, aOptions.mMaxBackoff,
                  aOptions.mSeed);
  for (unsigned attempt = 1;; ++attempt) {
    Result<T> result = StartCall<T>(aStart).get();
    if (result || attempt >= aOptions.mMaxAttempts ||
        !MayRetry(result.error(), aPolicy)) {
      return aPolicy == RetryPolicy::Always
               ? TimeoutToUnavailable(std::move(result))
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
  return CallWithRetries<Object>(mOptions, RetryPolicy::Always,
                                 [&](ObjectStore::Done<Object> aDone) {
                                   mStore->Get(aKey, std::move(aDone));
                                 });
}

Result<StoreVersion> SyncObjectStore::Put(std::string_view aKey,
                                          const std::string& aValue,
                                          WriteCondition aCondition)
{
  return CallWithRetries<StoreVersion>(
    mOptions, RetryPolicy::IfNotDone,
    [&](ObjectStore::Done<StoreVersion> aDone) {
      mStore->Put(aKey, aValue, aCondition, std::move(aDone));
    });
}

Result<StoreVersion> SyncObjectStore::Delete(std::string_view aKey,
                                             WriteCondition aCondition)
{
  return CallWithRetries<StoreVersion>(
    mOptions, RetryPolicy::IfNotDone,
    [&](ObjectStore::Done<StoreVersion> aDone) {
      mStore->Delete(aKey, aCondition, std::move(aDone));
    });
}

Result<std::vector<ObjectName>> SyncObjectStore::List(std::string_view aPrefix)
{
  return CallWithRetries<std::vector<ObjectName>>(
    mOptions, RetryPolicy::Always,
    [&](ObjectStore::Done<std::vector<ObjectName>> aDone) {
      mStore->List(aPrefix, std::move(aDone));
    });
}

Result<std::vector<Object>> SyncObjectStore::GetAll(
  const std::vector<std::string>& aKeys)
{
  std::vector<Object> out;
  out.reserve(aKeys.size());
  for (std::size_t first = 0; first < aKeys.size();
       first += kMaxParallelReads) {
    std::size_t end = std::min(aKeys.size(), first + kMaxParallelReads);
    std::vector<std::future<Result<Object>>> reads;
    for (std::size_t i = first; i < end; ++i) {
      reads.push_back(StartCall<Object>([&](ObjectStore::Done<Object> aDone) {
        mStore->Get(aKeys[i], std::move(aDone));
      }));
    }
    for (std::size_t i = first; i < end; ++i) {
      Result<Object> read = reads[i - first].get();
      if (!read && MayRetry(read.error(), RetryPolicy::Always)) {
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
