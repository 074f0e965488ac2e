#include "include/heatherplank/Configuration.h"

namespace heatherplank {

const Service* Configuration::FindByAddress(const Address& aAddress) const
{
  auto it = mByAddress.find(aAddress);
  return it == mByAddress.end() ? nullptr : Find(it->second);
}

const Service* Configuration::Find(ServiceId aId) const
{
  auto it = mServices.find(aId);
  return it == mServices.end() ? nullptr : &it->second;
}

} // namespace heatherplank
