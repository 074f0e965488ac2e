#pragma once

#include <memory>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank::lab {

/** What a proxy does to the connections through it. */
struct ProxyFaults
{
  /** Bytes are passed on this much later. */
  Duration mDelay{};
  /** Bytes to the server are swallowed. */
  bool mCutsRequests = false;
  /** Bytes from the server are swallowed. */
  bool mCutsAnswers = false;
  /** New connections are reset. */
  bool mRefuses = false;
};

/** A proxy on loopback between two processes, which harms what goes through
 * it from outside of both. Runs on one thread, that of its executor.
 */
class TcpProxy
{
public:
  TcpProxy(const boost::asio::any_io_executor& aExecutor,
           const Address& aServer);
  ~TcpProxy();

  /** Takes a free port at this address. */
  Result<void> Listen(const Address& aAddress);
  Address Local() const;

  void SetFaults(const ProxyFaults& aFaults);

  /** Resets every connection. */
  void ResetAll();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace heatherplank::lab
