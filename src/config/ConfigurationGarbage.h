#pragma once

#include <cstdint>

#include "src/config/ConfigurationHead.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank::config_garbage {

/** Removes the parts that a write stored, after another write replaced the head
 * first. The keys contain the write's nonce, so no part of another write is
 * removed. Thread safe.
 */
void RemoveWrittenParts(SyncObjectStore& aStore,
                        const ConfigurationHead& aHead);

/** To be called after a version was accepted: removes the version older than
 * the last aHistory versions and, at intervals, the parts left by writers that
 * died. A later call removes the objects that a failed call left.
 * aObjectVersion is the object version of the accepted head. Thread safe.
 */
void CollectGarbage(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                    StoreVersion aObjectVersion, std::uint64_t aHistory);

} // namespace heatherplank::config_garbage
