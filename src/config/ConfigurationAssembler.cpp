#include "src/config/ConfigurationAssembler.h"

#include <utility>

#include "src/config/ConfigurationCheck.h"
#include "src/config/ConfigurationParser.h"

namespace heatherplank {

namespace {

Result<void> CheckHashes(const ConfigurationHead& aHead,
                         std::span<const std::string_view> aParts)
{
  if (aParts.size() != aHead.mParts.size() || aParts.empty()) {
    return Fail(ErrorKind::Malformed,
                "parts of configuration version " +
                  std::to_string(aHead.mVersion) + " are missing",
                "read the version again");
  }
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    if (HashPart(aParts[i]) != aHead.mParts[i].mHash) {
      return Fail(ErrorKind::Malformed,
                  "part " + std::to_string(i) + " of configuration version " +
                    std::to_string(aHead.mVersion) + " is damaged",
                  "read the version again; if the error persists, apply the "
                  "inventory again");
    }
  }
  return {};
}

void AddServices(const std::vector<Service>& aServices, Configuration& aOut,
                 JsonFaults& aFaults)
{
  for (const auto& it : aServices) {
    auto [other, isNew] = aOut.mServices.try_emplace(it.mId, it);
    if (!isNew) {
      aFaults.Add("services",
                  "\"" + it.mName + "\" and \"" + other->second.mName +
                    "\" have the same name or hash",
                  "change one of the two names");
    }
  }
}

} // namespace

Result<ConfigurationPtr> ConfigurationAssembler::Assemble(
  const ConfigurationHead& aHead, std::span<const std::string_view> aParts)
{
  if (auto checked = CheckHashes(aHead, aParts); !checked) {
    return tl::unexpected(checked.error());
  }
  JsonFaults faults("configuration version " + std::to_string(aHead.mVersion));
  auto out = std::make_shared<Configuration>();
  out->mVersion = aHead.mVersion;
  ReadGeneralPart(aParts[0], *out, faults);
  if (out->mDataCentres != mDataCentres) {
    mServicesByPart.clear();
    mDataCentres = out->mDataCentres;
  }
  std::map<PartHash, Services> servicesByPart;
  for (std::size_t i = 1; i < aParts.size(); ++i) {
    const PartHash& hash = aHead.mParts[i].mHash;
    auto known = mServicesByPart.find(hash);
    Services services =
      known != mServicesByPart.end()
        ? known->second
        : std::make_shared<const std::vector<Service>>(
            ReadServicePart(aParts[i], out->mDataCentres, faults));
    AddServices(*services, *out, faults);
    servicesByPart.emplace(hash, std::move(services));
  }
  CheckServicesAndDrains(*out, faults);
  CheckUniqueness(*out, faults);
  if (!faults.IsEmpty()) {
    return Fail(ErrorKind::Malformed, faults.Describe(),
                "make sure that only heatherplank writes keys below config/");
  }
  mServicesByPart = std::move(servicesByPart);
  IndexAddresses(*out);
  return out;
}

Result<ConfigurationPtr> AssembleConfiguration(
  const ConfigurationHead& aHead, std::span<const std::string_view> aParts)
{
  return ConfigurationAssembler().Assemble(aHead, aParts);
}

} // namespace heatherplank
