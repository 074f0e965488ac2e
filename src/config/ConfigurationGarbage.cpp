#include "src/config/ConfigurationGarbage.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace heatherplank::config_garbage {

namespace {

/** Number of versions between scans for the objects of writers that died. */
constexpr std::uint64_t kOrphanScanInterval = 32;

Result<ConfigurationHead> ReadHistory(SyncObjectStore& aStore,
                                      const std::string& aKey)
{
  auto object = aStore.Get(aKey);
  if (!object) {
    return tl::unexpected(object.error());
  }
  return ParseHead(object->mValue);
}

/** Removes the version that leaves the history, and those of its parts that its
 * successor does not have. A part is reused only from one version to the next,
 * so no later version can contain the removed parts.
 */
void RemoveOldestVersion(SyncObjectStore& aStore, std::uint64_t aVersion)
{
  std::string key = config_keys::History(aVersion);
  auto removed = ReadHistory(aStore, key);
  auto next = ReadHistory(aStore, config_keys::History(aVersion + 1));
  if (!removed || !next) {
    return;
  }
  std::set<PartRef> retained(next->mParts.begin(), next->mParts.end());
  for (const auto& it : removed->mParts) {
    if (!retained.contains(it)) {
      aStore.Delete(config_keys::Part(it), WriteCondition::Always());
    }
  }
  aStore.Delete(key, WriteCondition::Always());
}

void AddPartKeys(const ConfigurationHead& aHead, std::set<std::string>& aKeys)
{
  for (const auto& it : aHead.mParts) {
    aKeys.insert(config_keys::Part(it));
  }
}

/** The keys of all parts of the retained versions; empty if they cannot be
 * determined. A listing without the version before the accepted one is stale:
 * parts of the versions missing from it would be removed while slow readers
 * still need them.
 */
std::set<std::string> RetainedPartKeys(SyncObjectStore& aStore,
                                       const ConfigurationHead& aAccepted)
{
  auto history = aStore.List(config_keys::kHistory);
  std::string last = config_keys::History(aAccepted.mVersion - 1);
  if (!history ||
      std::ranges::find(*history, last, &ObjectName::mKey) == history->end()) {
    return {};
  }
  std::set<std::string> out;
  AddPartKeys(aAccepted, out);
  for (const auto& it : *history) {
    auto head = ReadHistory(aStore, it.mKey);
    if (!head) {
      return {};
    }
    AddPartKeys(*head, out);
  }
  return out;
}

/** Removes the parts of writers that died. A part that is older than the
 * accepted head and in no retained version cannot come into force: its writer's
 * update of the head is conditional on a head that has been replaced.
 */
void RemoveOrphans(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                   StoreVersion aObjectVersion)
{
  auto parts = aStore.List(config_keys::kParts);
  auto retained = RetainedPartKeys(aStore, aAccepted);
  if (!parts || retained.empty()) {
    return;
  }
  for (const auto& it : *parts) {
    if (it.mVersion < aObjectVersion && !retained.contains(it.mKey)) {
      aStore.Delete(it.mKey, WriteCondition::IfVersion(it.mVersion));
    }
  }
}

} // namespace

void RemoveWrittenParts(SyncObjectStore& aStore, const ConfigurationHead& aHead)
{
  for (const auto& it : aHead.mParts) {
    if (it.mWriter == aHead.mNonce) {
      aStore.Delete(config_keys::Part(it), WriteCondition::Always());
    }
  }
}

void CollectGarbage(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                    StoreVersion aObjectVersion, std::uint64_t aHistory)
{
  if (aAccepted.mVersion > aHistory + 1) {
    RemoveOldestVersion(aStore, aAccepted.mVersion - aHistory - 1);
  }
  if (aAccepted.mVersion % kOrphanScanInterval == 0) {
    RemoveOrphans(aStore, aAccepted, aObjectVersion);
  }
}

} // namespace heatherplank::config_garbage
