#pragma once

#include <cstdint>
#include <string>

#include "include/heatherplank/Member.h"

namespace heatherplank {

inline Address AddressOf(std::int64_t aNumber)
{
  Address address;
  address.mIp[12] = static_cast<std::uint8_t>(aNumber >> 16);
  address.mIp[13] = static_cast<std::uint8_t>(aNumber >> 8);
  address.mIp[14] = static_cast<std::uint8_t>(aNumber);
  address.mPort = 80;
  return address;
}

/** A serving host, or balancer, that is told apart by its number. */
inline Member MakeMember(const std::string& aName, ServiceId aService,
                         std::int64_t aNumber)
{
  Member member;
  member.mHost = MakeHostId(aName);
  member.mService = aService;
  member.mDataCentre = MakeDataCentreId("dc-0");
  member.mIncarnation = 1;
  member.mState = HostState::Serving;
  member.mSlots = 2;
  member.mWeight = 100;
  member.mControl = AddressOf(aNumber);
  member.mTunnel = member.mControl;
  return member;
}

} // namespace heatherplank
