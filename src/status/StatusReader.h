#pragma once

#include "src/status/StatusObject.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank {

/** Adds what one status object holds to another. Thread safe. */
void AddStatus(StatusObject& aTo, const StatusObject& aFrom);

/** All status objects of the platform, put together. Thread safe; blocks. */
Result<StatusObject> ReadStatusObjects(SyncObjectStore& aPlatform);

} // namespace heatherplank
