#include "src/config/ConfigurationMerge.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <boost/json/serialize.hpp>

#include "src/config/ConfigurationParser.h"

namespace heatherplank {

namespace {

/** Makes a line of a difference, such as "+ host a of service b". */
std::string DiffLine(const char* aSign, const std::string& aKind,
                     const std::string& aName, const std::string& aSuffix)
{
  std::string out = aSign;
  out.append(aKind).append(" ").append(aName).append(aSuffix);
  return out;
}

/** Adds a line for each named item that was added, removed or changed. */
template<typename T>
void DescribeItems(const std::vector<T>& aFrom, const std::vector<T>& aTo,
                   const std::string& aKind, const std::string& aSuffix,
                   std::vector<std::string>& aOut)
{
  for (const auto& it : aFrom) {
    auto other = std::ranges::find(aTo, it.mName, &T::mName);
    if (other == aTo.end()) {
      aOut.push_back(DiffLine("- ", aKind, it.mName, aSuffix));
    } else if (!(*other == it)) {
      aOut.push_back(DiffLine("~ ", aKind, it.mName, aSuffix));
    }
  }
  for (const auto& it : aTo) {
    if (std::ranges::find(aFrom, it.mName, &T::mName) == aFrom.end()) {
      aOut.push_back(DiffLine("+ ", aKind, it.mName, aSuffix));
    }
  }
}

template<typename T>
std::vector<std::string> NamesOf(const std::vector<T>& aItems)
{
  std::vector<std::string> out;
  std::ranges::transform(aItems, std::back_inserter(out), &T::mName);
  return out;
}

/** Adds a line for each value that was added or removed. */
template<typename T, typename ToText>
void DescribeValues(const std::vector<T>& aFrom, const std::vector<T>& aTo,
                    const std::string& aKind, const std::string& aSuffix,
                    ToText aToText, std::vector<std::string>& aOut)
{
  for (const auto& it : aFrom) {
    if (std::ranges::find(aTo, it) == aTo.end()) {
      aOut.push_back(DiffLine("- ", aKind, aToText(it), aSuffix));
    }
  }
  for (const auto& it : aTo) {
    if (std::ranges::find(aFrom, it) == aFrom.end()) {
      aOut.push_back(DiffLine("+ ", aKind, aToText(it), aSuffix));
    }
  }
}

const std::string& Identity(const std::string& aText)
{
  return aText;
}

void DescribeService(const Service& aFrom, const Service& aTo,
                     std::vector<std::string>& aOut)
{
  std::string suffix = " of service " + aTo.mName;
  std::size_t before = aOut.size();
  DescribeItems(aFrom.mHosts, aTo.mHosts, "host", suffix, aOut);
  DescribeItems(aFrom.mRules, aTo.mRules, "rule", suffix, aOut);
  DescribeValues(
    aFrom.mAddresses, aTo.mAddresses, "address", suffix,
    [](const Address& aAddress) { return aAddress.ToString(); }, aOut);
  if (aFrom.mSlotsPerHost != aTo.mSlotsPerHost) {
    aOut.push_back("~ slots_per_host" + suffix + ": " +
                   std::to_string(aFrom.mSlotsPerHost) + " -> " +
                   std::to_string(aTo.mSlotsPerHost));
  }
  if (NamesOf(aFrom.mRules) != NamesOf(aTo.mRules) && before == aOut.size()) {
    aOut.push_back("~ order of the rules" + suffix);
  }
  if (before == aOut.size()) {
    aOut.push_back("~ order of entries" + suffix);
  }
}

void DescribePolicy(const PolicyChoice& aFrom, const PolicyChoice& aTo,
                    std::vector<std::string>& aOut)
{
  if (aFrom.mName != aTo.mName) {
    aOut.push_back("~ policy: " + aFrom.mName + " -> " + aTo.mName);
  } else if (!(aFrom == aTo)) {
    aOut.push_back("~ weights of the policy's score");
  }
}

/** Three-way merge of one unit; a conflict is added to aConflicts. An absent
 * unit is a null pointer. */
template<typename T>
const T* MergeUnit(const T* aBase, const T* aMine, const T* aTheirs,
                   const std::string& aUnit,
                   std::vector<std::string>& aConflicts)
{
  auto same = [](const T* aLeft, const T* aRight) {
    return aLeft == aRight ||
           (aLeft != nullptr && aRight != nullptr && *aLeft == *aRight);
  };
  if (same(aMine, aBase)) {
    return aTheirs;
  }
  if (!same(aTheirs, aBase) && !same(aMine, aTheirs)) {
    aConflicts.push_back(aUnit);
  }
  return aMine;
}

void MergeServices(const Configuration& aBase, const Configuration& aMine,
                   const Configuration& aTheirs, Configuration& aOut,
                   std::vector<std::string>& aConflicts)
{
  std::set<ServiceId> ids;
  for (const auto* side : { &aBase, &aMine, &aTheirs }) {
    for (const auto& it : side->mServices) {
      ids.insert(it.first);
    }
  }
  for (auto id : ids) {
    const Service* base = aBase.Find(id);
    const Service* mine = aMine.Find(id);
    const Service* theirs = aTheirs.Find(id);
    const Service* named = mine != nullptr ? mine : theirs;
    named = named != nullptr ? named : base;
    const auto* chosen =
      MergeUnit(base, mine, theirs, "service " + named->mName, aConflicts);
    if (chosen != nullptr) {
      aOut.mServices.emplace(id, *chosen);
    }
  }
}

/** Merges the drained hosts, each as a separate unit. A conflict cannot occur:
 * if both sides changed a host's drain, they made the same change. */
std::vector<std::string> MergeDrained(const Configuration& aBase,
                                      const Configuration& aMine,
                                      const Configuration& aTheirs)
{
  auto has = [](const Configuration& aSide, const std::string& aHost) {
    return std::ranges::find(aSide.mDrainedHosts, aHost) !=
           aSide.mDrainedHosts.end();
  };
  std::vector<std::string> out;
  for (const auto& it : aTheirs.mDrainedHosts) {
    if (has(aMine, it) || !has(aBase, it)) {
      out.push_back(it);
    }
  }
  for (const auto& it : aMine.mDrainedHosts) {
    if (!has(aBase, it) && !has(aTheirs, it)) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace

std::vector<std::string> DescribeDifference(const Configuration& aFrom,
                                            const Configuration& aTo)
{
  std::vector<std::string> out;
  DescribeValues(aFrom.mDataCentres, aTo.mDataCentres, "data centre", "",
                 Identity, out);
  DescribePolicy(aFrom.mPolicy, aTo.mPolicy, out);
  for (const auto& [id, service] : aFrom.mServices) {
    const Service* other = aTo.Find(id);
    if (other == nullptr) {
      out.push_back("- service " + service.mName);
    } else if (!(*other == service)) {
      DescribeService(service, *other, out);
    }
  }
  for (const auto& [id, service] : aTo.mServices) {
    if (aFrom.Find(id) == nullptr) {
      out.push_back("+ service " + service.mName + " with " +
                    std::to_string(service.mHosts.size()) + " hosts");
    }
  }
  DescribeValues(aFrom.mDrainedHosts, aTo.mDrainedHosts, "drained host", "",
                 Identity, out);
  return out;
}

bool HasSameContent(const Configuration& aLeft, const Configuration& aRight)
{
  return aLeft.mDataCentres == aRight.mDataCentres &&
         aLeft.mPolicy == aRight.mPolicy &&
         aLeft.mServices == aRight.mServices &&
         aLeft.mDrainedHosts == aRight.mDrainedHosts;
}

Result<ConfigurationPtr> MergeConfigurations(const Configuration& aBase,
                                             const Configuration& aMine,
                                             const Configuration& aTheirs)
{
  Configuration out;
  std::vector<std::string> conflicts;
  out.mPolicy = *MergeUnit(&aBase.mPolicy, &aMine.mPolicy, &aTheirs.mPolicy,
                           "the policy", conflicts);
  out.mDataCentres =
    *MergeUnit(&aBase.mDataCentres, &aMine.mDataCentres, &aTheirs.mDataCentres,
               "the data centres", conflicts);
  MergeServices(aBase, aMine, aTheirs, out, conflicts);
  out.mDrainedHosts = MergeDrained(aBase, aMine, aTheirs);
  if (!conflicts.empty()) {
    std::string units;
    for (const auto& it : conflicts) {
      units += (units.empty() ? "" : ", ") + it;
    }
    return Fail(ErrorKind::Conflict, "both changed " + units,
                "`get` the newer version, redo the change in it, and apply");
  }
  return ParseConfiguration(
    boost::json::serialize(ToJson(out)), aTheirs.mVersion,
    "the change merged with version " + std::to_string(aTheirs.mVersion));
}

} // namespace heatherplank
