#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Converts an address to an Asio endpoint; IPv4-mapped IPv6 becomes IPv4. */
template<typename Protocol>
boost::asio::ip::basic_endpoint<Protocol> ToEndpoint(const Address& aAddress)
{
  boost::asio::ip::address_v6 v6(aAddress.mIp);
  if (v6.is_v4_mapped()) {
    return { boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, v6),
             aAddress.mPort };
  }
  return { v6, aAddress.mPort };
}

/** Converts an Asio endpoint to an address; IPv4 becomes IPv4-mapped IPv6. */
template<typename Protocol>
Address FromEndpoint(const boost::asio::ip::basic_endpoint<Protocol>& aEndpoint)
{
  Address out;
  auto ip = aEndpoint.address();
  out.mIp =
    ip.is_v4()
      ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, ip.to_v4())
          .to_bytes()
      : ip.to_v6().to_bytes();
  out.mPort = aEndpoint.port();
  return out;
}

/** Parses an IP address and port, as "10.0.0.1:80" or "[::1]:80". Fails with
 * InvalidInput. Thread safe.
 */
Result<Address> ParseAddress(std::string_view aText);

} // namespace heatherplank
