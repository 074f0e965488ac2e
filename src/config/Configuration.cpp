#include "include/heatherplank/Configuration.h"

namespace heatherplank {

const Rule* FindRule(const Service& aService, std::string_view aMethod,
                     std::string_view aTarget)
{
  for (const auto& it : aService.mRules) {
    bool method = it.mMethod.empty() || it.mMethod == aMethod;
    if (method && aTarget.starts_with(it.mPathPrefix)) {
      return &it;
    }
  }
  return nullptr;
}

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
