#pragma once

#include <cstdint>

#include "src/config/ConfigurationHead.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank::config_garbage {

/** Removes the parts that a write stored itself, after it lost its race. Since
 * no other write uses its keys, nobody else's part is touched. Thread safe.
 */
void RemoveOwnParts(SyncObjectStore& aStore, const ConfigurationHead& aHead);

/** Run after a version was accepted: drops what falls out of the last aHistory
 * versions, and now and then what writers that died have left. A failure is
 * made good by a later call. aObjectVersion is the accepted head's. Thread
 * safe.
 */
void CollectAfter(SyncObjectStore& aStore, const ConfigurationHead& aAccepted,
                  std::uint64_t aObjectVersion, std::uint64_t aHistory);

} // namespace heatherplank::config_garbage
