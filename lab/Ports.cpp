#include "lab/Ports.h"

#include <boost/asio/ip/udp.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
using boost::system::error_code;

Address Ports::Take()
{
  while (true) {
    asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    asio::ip::tcp::acceptor held(mExecutor);
    held.open(any.protocol());
    held.set_option(asio::socket_base::reuse_address(true));
    held.bind(any);
    auto local = held.local_endpoint();
    asio::ip::udp::socket probe(mExecutor);
    probe.open(asio::ip::udp::v4());
    error_code ec;
    probe.bind({ local.address(), local.port() }, ec);
    if (ec) {
      continue;
    }
    mTaken.insert(local.port());
    mHeld.push_back(std::move(held));
    return FromEndpoint(local);
  }
}

} // namespace heatherplank::lab
