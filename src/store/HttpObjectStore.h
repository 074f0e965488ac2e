#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/ObjectStore.h"
#include "src/net/HttpClient.h"

namespace heatherplank {

/** The platform's object API over HTTP, as docs/CONTRACTS.md states it. One
 * call is one request: nothing is sent again here, since only the caller knows
 * whether that is safe. Watches have connections of their own, so that a
 * waiting one holds up no read or write. Thread safe.
 */
class HttpObjectStore final : public ObjectStore
{
public:
  struct Options
  {
    /** How long an answer may take; a watch gets its wait on top. */
    Duration mTimeout = std::chrono::seconds(2);
    /** Connections for reads and writes. */
    std::size_t mConnections = 4;
    /** Watches that wait at once; further ones queue. */
    std::size_t mWatches = 2;
  };

  HttpObjectStore(const boost::asio::any_io_executor& aExecutor,
                  const Address& aPlatform, const Options& aOptions);

  void Get(std::string_view aKey, Done<Object> aDone) override;
  void Put(std::string_view aKey, std::string aValue, WriteCondition aCondition,
           Done<std::uint64_t> aDone) override;
  void Delete(std::string_view aKey, WriteCondition aCondition,
              Done<std::uint64_t> aDone) override;
  void Watch(std::string_view aKey, std::uint64_t aAfter, Duration aWait,
             Done<std::optional<Object>> aDone) override;
  void List(std::string_view aPrefix,
            Done<std::vector<ObjectName>> aDone) override;

private:
  Options mOptions;
  std::shared_ptr<HttpClient> mCalls;
  std::shared_ptr<HttpClient> mWatches;
};

} // namespace heatherplank
