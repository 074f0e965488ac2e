#pragma once

#include "src/status/StatusObject.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank {

/** Adds the figures of aFrom to aTo and keeps each process's latest status.
 * Thread safe. */
void AddStatus(StatusObject& aTo, const StatusObject& aFrom);

/** Reads and merges all status objects of the platform. Thread safe; blocks. */
Result<StatusObject> ReadStatusObjects(SyncObjectStore& aPlatform);

} // namespace heatherplank
