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
                "read it again");
  }
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    if (HashPart(aParts[i]) != aHead.mParts[i].mHash) {
      return Fail(ErrorKind::Malformed,
                  "part " + std::to_string(i) + " of configuration version " +
                    std::to_string(aHead.mVersion) + " is damaged",
                  "read it again; if it stays so, apply the inventory anew");
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
    mRead.clear();
    mDataCentres = out->mDataCentres;
  }
  std::map<PartHash, Services> read;
  for (std::size_t i = 1; i < aParts.size(); ++i) {
    const PartHash& hash = aHead.mParts[i].mHash;
    auto known = mRead.find(hash);
    Services services =
      known != mRead.end()
        ? known->second
        : std::make_shared<const std::vector<Service>>(
            ReadServicePart(aParts[i], out->mDataCentres, faults));
    AddServices(*services, *out, faults);
    read.emplace(hash, std::move(services));
  }
  CheckWhole(*out, faults);
  CheckUnique(*out, faults);
  if (!faults.IsEmpty()) {
    return Fail(ErrorKind::Malformed, faults.Describe(),
                "let nothing but heatherplank write below config/");
  }
  mRead = std::move(read);
  IndexAddresses(*out);
  return out;
}

Result<ConfigurationPtr> AssembleConfiguration(
  const ConfigurationHead& aHead, std::span<const std::string_view> aParts)
{
  return ConfigurationAssembler().Assemble(aHead, aParts);
}

} // namespace heatherplank
