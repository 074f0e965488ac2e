#include "src/net/Endpoint.h"

#include <charconv>
#include <string>

namespace heatherplank {

namespace {

tl::unexpected<Error> BadAddress(std::string_view aText)
{
  return Fail(ErrorKind::InvalidInput,
              "\"" + std::string(aText) + "\" is not an address with a port",
              "write it as 127.0.0.1:8080 or [::1]:8080");
}

} // namespace

Result<Address> ParseAddress(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return BadAddress(aText);
  }
  std::string_view host = aText.substr(0, colon);
  std::string_view port = aText.substr(colon + 1);
  bool bracketed = host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t number = 0;
  auto [end, ec] =
    std::from_chars(port.data(), port.data() + port.size(), number);
  if (ec != std::errc() || end != port.data() + port.size()) {
    return BadAddress(aText);
  }
  boost::system::error_code parse;
  auto ip = boost::asio::ip::make_address(std::string(host), parse);
  if (parse || ip.is_v6() != bracketed) {
    return BadAddress(aText);
  }
  return FromEndpoint(boost::asio::ip::tcp::endpoint(ip, number));
}

} // namespace heatherplank
