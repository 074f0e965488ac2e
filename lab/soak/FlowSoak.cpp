#include "lab/soak/FlowSoak.h"

#include <filesystem>

#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

bool RunSoak(const SoakOptions& aOptions)
{
  bool passed = Soak(aOptions).Run();
  if (passed) {
    std::filesystem::remove_all(aOptions.mFolder);
  }
  return passed;
}

} // namespace heatherplank::lab
