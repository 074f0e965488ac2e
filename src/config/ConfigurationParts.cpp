#include "src/config/ConfigurationParts.h"

#include <algorithm>
#include <bit>
#include <utility>

#include <boost/json/serialize.hpp>

#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigurationParser.h"

namespace heatherplank {

namespace {

/** A change of one service sends its whole part to every balancer, and the list
 * of all parts to balancers that missed a version. With 16 services (about 16
 * KB) per part, 6,000 services make 512 parts and a list of 8 KB, so that the
 * two are of similar size. */
constexpr std::size_t kServicesPerPart = 16;
constexpr std::size_t kMaxParts = 4096;
/** All parts are rebuilt if the best number differs by more than this factor.
 */
constexpr std::size_t kMaxPartCountRatio = 4;

std::string SerializeServices(const std::vector<const Service*>& aServices)
{
  return boost::json::serialize(ServicesToJson(aServices));
}

std::vector<std::string> SplitServices(const Configuration& aConfiguration,
                                       std::size_t aPartCount)
{
  std::vector<std::vector<const Service*>> buckets(aPartCount);
  for (const auto& [id, service] : aConfiguration.mServices) {
    buckets[id.mValue % aPartCount].push_back(&service);
  }
  std::vector<std::string> out;
  out.reserve(aPartCount + 1);
  for (const auto& it : buckets) {
    out.push_back(SerializeServices(it));
  }
  return out;
}

bool FitsInObject(const std::string& aPart)
{
  return aPart.size() <= ObjectStore::kMaxObjectSize;
}

} // namespace

std::size_t ChoosePartCount(std::size_t aServices, std::size_t aPrevious)
{
  std::size_t best = std::clamp<std::size_t>(
    std::bit_ceil(aServices / kServicesPerPart), 1, kMaxParts);
  bool isCloseEnough = aPrevious != 0 &&
                       best <= aPrevious * kMaxPartCountRatio &&
                       aPrevious <= best * kMaxPartCountRatio;
  return isCloseEnough ? aPrevious : best;
}

Result<std::vector<std::string>> SplitConfiguration(
  const Configuration& aConfiguration, std::size_t aPartCount)
{
  std::string general = boost::json::serialize(GeneralToJson(aConfiguration));
  for (std::size_t n = aPartCount; n <= kMaxParts && FitsInObject(general);
       n *= 2) {
    auto out = SplitServices(aConfiguration, n);
    if (std::ranges::all_of(out, FitsInObject)) {
      out.insert(out.begin(), std::move(general));
      return out;
    }
  }
  return Fail(ErrorKind::TooLarge,
              "a part of the configuration would exceed " +
                std::to_string(ObjectStore::kMaxObjectSize) + " bytes",
              "give large services fewer hosts, or drain fewer hosts at once");
}

} // namespace heatherplank
