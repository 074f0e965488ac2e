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

/** Puts the parts of a version together and checks the whole. Remembers what
 * it read from the parts of the last version, since a change moves one part in
 * hundreds, and reading all of them anew would take most of the processor time
 * that a node may spend on control. Not thread safe.
 */
class ConfigurationAssembler
{
public:
  /** Malformed with every fault, or if a part's hash differs from that in the
   * head. aParts are in the head's order. */
  Result<ConfigurationPtr> Assemble(const ConfigurationHead& aHead,
                                    std::span<const std::string_view> aParts);

private:
  using Services = std::shared_ptr<const std::vector<Service>>;

  std::map<PartHash, Services> mRead;
  /** The services were checked against these. */
  std::vector<std::string> mDataCentres;
};

/** The same with nothing remembered. Thread safe. */
Result<ConfigurationPtr> AssembleConfiguration(
  const ConfigurationHead& aHead, std::span<const std::string_view> aParts);

} // namespace heatherplank
