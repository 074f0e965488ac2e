#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Types.h"

namespace heatherplank::lab {

/** Reserves loopback ports, for TCP and UDP, for processes. Each port stays
 * bound for TCP without listening: a process that sets SO_REUSEADDR can listen
 * on it at any time, and the kernel assigns it to no other socket while that
 * process is down. Not thread safe.
 */
class Ports
{
public:
  explicit Ports(const boost::asio::any_io_executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  /** Reserves a free port. */
  Address Take();

  /** True if a port is reserved; a UDP socket of the lab must not use it. */
  bool IsTaken(std::uint16_t aPort) const { return mTaken.contains(aPort); }

private:
  boost::asio::any_io_executor mExecutor;
  std::set<std::uint16_t> mTaken;
  std::vector<boost::asio::ip::tcp::acceptor> mHeld;
};

} // namespace heatherplank::lab
