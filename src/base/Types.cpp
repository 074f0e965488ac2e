#include "include/heatherplank/Types.h"

#include <boost/asio/ip/address.hpp>
#include <xxhash.h>

namespace heatherplank {

namespace {

constexpr std::uint64_t kServiceSeed = 0x5e51ce;
constexpr std::uint64_t kHostSeed = 0x4057;
constexpr std::uint64_t kDataCentreSeed = 0xdc;

/** 0 means "none", so no name may hash to it. */
std::uint64_t HashName(std::string_view aName, std::uint64_t aSeed)
{
  std::uint64_t hash = HashBytes(aName, aSeed);
  return hash == 0 ? 1 : hash;
}

std::uint64_t HashAddress(const Address& aAddress, std::uint64_t aSeed)
{
  std::uint64_t ip = XXH3_64bits_withSeed(
    aAddress.mIp.data(), aAddress.mIp.size(), aSeed + aAddress.mPort);
  return ip;
}

} // namespace

std::string FlowKey::ToString() const
{
  return mCaller.ToString() + ">" + mService.ToString();
}

std::string Address::ToString() const
{
  boost::asio::ip::address_v6 v6(mIp);
  if (v6.is_v4_mapped()) {
    auto v4 = boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, v6);
    return v4.to_string() + ":" + std::to_string(mPort);
  }
  return "[" + v6.to_string() + "]:" + std::to_string(mPort);
}

ServiceId MakeServiceId(std::string_view aName)
{
  return { HashName(aName, kServiceSeed) };
}

HostId MakeHostId(std::string_view aName)
{
  return { HashName(aName, kHostSeed) };
}

DataCentreId MakeDataCentreId(std::string_view aName)
{
  return { HashName(aName, kDataCentreSeed) };
}

std::uint64_t HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t HashFlow(const FlowKey& aFlow, std::uint64_t aSeed)
{
  return MixHash(HashAddress(aFlow.mCaller, aSeed),
                 HashAddress(aFlow.mService, aSeed));
}

std::uint64_t MixHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::array<std::uint64_t, 2> both{ aLeft, aRight };
  return XXH3_64bits(both.data(), sizeof(both));
}

std::string_view ToString(HostState aState)
{
  switch (aState) {
    case HostState::Cold:
      return "cold";
    case HostState::Serving:
      return "serving";
    case HostState::Draining:
      return "draining";
    case HostState::Leaving:
      return "leaving";
  }
  return "unknown";
}

} // namespace heatherplank

std::size_t std::hash<heatherplank::Address>::operator()(
  const heatherplank::Address& aAddress) const noexcept
{
  return heatherplank::HashAddress(aAddress, 0);
}
