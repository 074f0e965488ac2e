#include "lab/soak/FlowSoak.h"

#include <filesystem>

#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

bool RunSoak(const SoakOptions& aOptions)
{
  bool held = Soak(aOptions).Run();
  if (held) {
    std::filesystem::remove_all(aOptions.mFolder);
  }
  return held;
}

} // namespace heatherplank::lab
