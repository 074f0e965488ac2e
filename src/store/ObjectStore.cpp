#include "include/heatherplank/ObjectStore.h"

#include <utility>

namespace heatherplank {

void ObjectStore::WatchNames(std::string_view aPrefix, std::uint64_t, Duration,
                             Done<NameChange> aDone)
{
  Done<NameChange> done = std::move(aDone);
  done(Fail(ErrorKind::Unavailable,
            "this store can't watch names under " + std::string(aPrefix),
            "leave the setting that names them empty"));
}

} // namespace heatherplank
