#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/ObjectStore.h"
#include "src/net/HttpClient.h"

namespace heatherplank {

/** The platform's object API over HTTP, as specified in docs/CONTRACTS.md. Each
 * call sends one request; nothing is retried, since only the caller knows
 * whether a retry is safe. Watches have separate connections, so that a pending
 * watch delays no read or write. Thread safe.
 */
class HttpObjectStore final : public ObjectStore
{
public:
  struct Options
  {
    /** Timeout of a call; a watch's wait is added. */
    Duration mTimeout = std::chrono::seconds(2);
    /** Connections for reads and writes. */
    std::size_t mConnections = 4;
    /** Concurrent watches; further ones are queued. */
    std::size_t mWatches = 2;
  };

  HttpObjectStore(const boost::asio::any_io_executor& aExecutor,
                  const Address& aPlatform, const Options& aOptions);

  void Get(std::string_view aKey, Done<Object> aDone) override;
  void Put(std::string_view aKey, std::string aValue, WriteCondition aCondition,
           Done<StoreVersion> aDone) override;
  void Delete(std::string_view aKey, WriteCondition aCondition,
              Done<StoreVersion> aDone) override;
  void Watch(std::string_view aKey, StoreVersion aAfter, Duration aWait,
             Done<std::optional<Object>> aDone) override;
  void List(std::string_view aPrefix,
            Done<std::vector<ObjectName>> aDone) override;

private:
  /** The highest era in any response; shared with pending calls. */
  const std::shared_ptr<std::atomic<std::uint64_t>> mNewestEra =
    std::make_shared<std::atomic<std::uint64_t>>(0);
  Options mOptions;
  std::shared_ptr<HttpClient> mCalls;
  std::shared_ptr<HttpClient> mWatches;
};

} // namespace heatherplank
