#include "src/config/ConfigurationGarbage.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace heatherplank::config_garbage {

namespace {

/** How often the objects of writers that died are looked for, in versions. */
constexpr std::uint64_t kOrphanPeriod = 32;

Result<ConfigurationHead> ReadHistory(SyncObjectStore& aStore,
                                      const std::string& aKey)
{
  auto object = aStore.Get(aKey);
  if (!object) {
    return tl::unexpected(object.error());
  }
  return ParseHead(object->mValue);
}

/** Drops the version that falls out of the history, and the parts that its
 * successor no longer had. A part is carried on only from one version to the
 * next, so none of them can be in a later one.
 */
void DropOldest(SyncObjectStore& aStore, std::uint64_t aVersion)
{
  std::string key = config_keys::History(aVersion);
  auto dropped = ReadHistory(aStore, key);
  auto next = ReadHistory(aStore, config_keys::History(aVersion + 1));
  if (!dropped || !next) {
    return;
  }
  std::set<PartRef> kept(next->mParts.begin(), next->mParts.end());
  for (const auto& it : dropped->mParts) {
    if (!kept.contains(it)) {
      aStore.Delete(config_keys::Part(it), WriteCondition::Always());
    }
  }
  aStore.Delete(key, WriteCondition::Always());
}

void Keep(const ConfigurationHead& aHead, std::set<std::string>& aKeys)
{
  for (const auto& it : aHead.mParts) {
    aKeys.insert(config_keys::Part(it));
  }
}

/** The keys of all parts that a kept version has; empty if they can't be
 * known. A listing without the version before the accepted one is stale, and
 * parts of versions that it does not show would be taken for garbage while
 * slow readers still need them.
 */
std::set<std::string> KeptParts(SyncObjectStore& aStore,
                                const ConfigurationHead& aAccepted)
{
  auto history = aStore.List(config_keys::kHistory);
  std::string last = config_keys::History(aAccepted.mVersion - 1);
  if (!history ||
      std::ranges::find(*history, last, &ObjectName::mKey) == history->end()) {
    return {};
  }
  std::set<std::string> out;
  Keep(aAccepted, out);
  for (const auto& it : *history) {
    auto head = ReadHistory(aStore, it.mKey);
    if (!head) {
      return {};
    }
    Keep(*head, out);
  }
  return out;
}

/** Drops parts of writers that died. A part that is older than the accepted
 * head and in no kept version can't come into force: its writer's condition
 * names a head that was replaced since.
 */
void DropOrphans(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                 std::uint64_t aObjectVersion)
{
  auto parts = aStore.List(config_keys::kParts);
  auto kept = KeptParts(aStore, aAccepted);
  if (!parts || kept.empty()) {
    return;
  }
  for (const auto& it : *parts) {
    if (it.mVersion < aObjectVersion && !kept.contains(it.mKey)) {
      aStore.Delete(it.mKey, WriteCondition::IfVersion(it.mVersion));
    }
  }
}

} // namespace

void RemoveOwnParts(SyncObjectStore& aStore, const ConfigurationHead& aHead)
{
  for (const auto& it : aHead.mParts) {
    if (it.mWriter == aHead.mNonce) {
      aStore.Delete(config_keys::Part(it), WriteCondition::Always());
    }
  }
}

void CollectAfter(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                  std::uint64_t aObjectVersion, std::uint64_t aHistory)
{
  if (aAccepted.mVersion > aHistory + 1) {
    DropOldest(aStore, aAccepted.mVersion - aHistory - 1);
  }
  if (aAccepted.mVersion % kOrphanPeriod == 0) {
    DropOrphans(aStore, aAccepted, aObjectVersion);
  }
}

} // namespace heatherplank::config_garbage
