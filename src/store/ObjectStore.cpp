#include "include/heatherplank/ObjectStore.h"

#include <utility>

namespace heatherplank {

void ObjectStore::WatchNames(std::string_view aPrefix, StoreVersion, Duration,
                             Done<NameChange> aDone)
{
  Done<NameChange> done = std::move(aDone);
  done(Fail(ErrorKind::Unavailable,
            "this store does not support watching names under " +
              std::string(aPrefix),
            "leave the setting for objects of this prefix empty"));
}

} // namespace heatherplank
