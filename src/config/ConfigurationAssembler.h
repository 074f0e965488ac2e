#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigurationHead.h"

namespace heatherplank {

/** Assembles a configuration from the parts of a version and validates it.
 * Caches the services parsed from the parts of the last version: a change
 * alters one part in hundreds, and parsing all of them again would take most of
 * the CPU time that a node may spend on control. Not thread safe.
 */
class ConfigurationAssembler
{
public:
  /** aParts are in the head's order. Malformed, with every fault found, if the
   * configuration is invalid, or if a part is missing or its hash differs from
   * the head's. */
  Result<ConfigurationPtr> Assemble(const ConfigurationHead& aHead,
                                    std::span<const std::string_view> aParts);

private:
  using Services = std::shared_ptr<const std::vector<Service>>;

  std::map<PartHash, Services> mServicesByPart;
  /** The data centres that the cached services were checked against. */
  std::vector<std::string> mDataCentres;
};

/** As ConfigurationAssembler::Assemble, without a cache. Thread safe. */
Result<ConfigurationPtr> AssembleConfiguration(
  const ConfigurationHead& aHead, std::span<const std::string_view> aParts);

} // namespace heatherplank
