#include "src/wire/WireAddress.h"

#include <boost/endian/conversion.hpp>

namespace heatherplank {

wire::WireAddress ToWire(const Address& aAddress)
{
  return { boost::endian::load_big_u64(aAddress.mIp.data()),
           boost::endian::load_big_u64(aAddress.mIp.data() + 8),
           aAddress.mPort };
}

Address FromWire(const wire::WireAddress& aAddress)
{
  Address out;
  boost::endian::store_big_u64(out.mIp.data(), aAddress.ip_high());
  boost::endian::store_big_u64(out.mIp.data() + 8, aAddress.ip_low());
  out.mPort = aAddress.port();
  return out;
}

wire::WireFlow ToWire(const FlowKey& aFlow)
{
  return { ToWire(aFlow.mCaller), ToWire(aFlow.mService) };
}

FlowKey FromWire(const wire::WireFlow& aFlow)
{
  return { FromWire(aFlow.caller()), FromWire(aFlow.service()) };
}

} // namespace heatherplank
