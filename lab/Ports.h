#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Types.h"

namespace heatherplank::lab {

/** Loopback ports, free for TCP and UDP, that are promised to processes. Each
 * stays bound for TCP without listening: a process that allows the reuse of
 * its address can listen there at any time, and the kernel gives the port to
 * nobody else, also while that process is down. Not thread safe.
 */
class Ports
{
public:
  explicit Ports(const boost::asio::any_io_executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  /** Takes a free port. */
  Address Take();

  /** True if a port is promised; a UDP socket of the lab must not stay on it.
   */
  bool IsTaken(std::uint16_t aPort) const { return mTaken.contains(aPort); }

private:
  boost::asio::any_io_executor mExecutor;
  std::set<std::uint16_t> mTaken;
  std::vector<boost::asio::ip::tcp::acceptor> mHeld;
};

} // namespace heatherplank::lab
