#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/Types.h"
#include "src/metrics/TrafficMeter.h"

namespace heatherplank {

/** Tells from the members in view whether an address is in this process's data
 * centre. Not thread safe. */
class DataCentreLookup
{
public:
  /** Twice the members that CAPACITY.md plans for; the boundary of further ones
   * is unknown. */
  static constexpr std::size_t kMaxAddresses = 65536;

  explicit DataCentreLookup(DataCentreId aOwn,
                            std::size_t aMaxAddresses = kMaxAddresses)
    : mOwn(aOwn)
    , mMaxAddresses(aMaxAddresses)
  {
  }

  /** Replaces the members of a service. Costs a few hash look-ups for each of
   * them; call it when they have changed. */
  void SetMembers(ServiceId aService, std::span<const Member> aMembers);

  /** Ports are ignored: a process has several, on one IP address. */
  TrafficBoundary BoundaryOf(const Address& aAddress) const
  {
    auto it = mBoundaries.find(HostPart(aAddress));
    return it == mBoundaries.end() ? TrafficBoundary::Unknown
                                   : it->second.mBoundary;
  }

  std::size_t Size() const { return mBoundaries.size(); }

private:
  struct Entry
  {
    /** The service that was last in view with this address: addresses are
     * reused by other services. */
    ServiceId mService;
    TrafficBoundary mBoundary{};
  };

  static Address HostPart(const Address& aAddress)
  {
    return { aAddress.mIp, 0 };
  }
  void Insert(const Address& aAddress, const Entry& aEntry);
  void EraseMembers(ServiceId aService);

  const DataCentreId mOwn;
  const std::size_t mMaxAddresses;
  boost::unordered_flat_map<Address, Entry, std::hash<Address>> mBoundaries;
  /** The addresses with an entry of each service. */
  std::map<ServiceId, std::vector<Address>> mServices;
};

} // namespace heatherplank
