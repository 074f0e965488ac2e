#pragma once

#include <memory>
#include <set>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank::lab {

/** Faults that a proxy injects into its connections. */
struct ProxyFaults
{
  /** Delay before bytes are forwarded. */
  Duration mDelay{};
  /** Bytes to the server are discarded. */
  bool mDropsRequests = false;
  /** Bytes from the server are discarded. */
  bool mDropsResponses = false;
  /** New connections are reset. */
  bool mResetsNewConnections = false;
};

/** A TCP proxy between two processes that injects faults into their
 * connections. Single-threaded: used only on its executor's thread.
 */
class TcpProxy
{
public:
  TcpProxy(const boost::asio::any_io_executor& aExecutor,
           const Address& aServer);
  ~TcpProxy();

  /** Listens at the address; port 0 picks a free port. Returns
   * ErrorKind::System if the address can't be bound. */
  Result<void> Listen(const Address& aAddress);
  Address Local() const;

  void SetFaults(const ProxyFaults& aFaults);

  /** Resets every connection. */
  void ResetAll();

  /** The present connections carry no more bytes, in either direction, and stay
   * open. New ones are not affected. */
  void SilenceAll();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace heatherplank::lab
