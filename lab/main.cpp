#include <csignal>
#include <iostream>
#include <string_view>

#include "lab/Garbage.h"
#include "lab/Run.h"

using namespace heatherplank::lab;

namespace {

constexpr const char* kUsage =
  "usage: lab run SCENARIO.json --bin PATH/heatherplank [--keep]\n"
  "       lab garbage --bin PATH/heatherplank\n"
  "Plays a scenario with real processes, or throws garbage at their ports\n"
  "(docs/LAB.md). Exit codes: 0 all\n"
  "expectations met, 1 some not, 2 wrong usage or scenario, 3 not played.\n";

/** True if the arguments are well formed. */
bool ParseArguments(int aCount, char** aArguments, RunOptions& aOut)
{
  if (aCount < 3 || std::string_view(aArguments[1]) != "run") {
    return false;
  }
  aOut.mScenario = aArguments[2];
  for (int i = 3; i < aCount; ++i) {
    std::string_view argument = aArguments[i];
    if (argument == "--keep") {
      aOut.mKeep = true;
    } else if (argument == "--bin" && i + 1 < aCount) {
      aOut.mBin = aArguments[++i];
    } else {
      return false;
    }
  }
  return !aOut.mBin.empty();
}

} // namespace

int main(int aCount, char** aArguments)
{
  bool garbage = aCount == 4 && std::string_view(aArguments[1]) == "garbage" &&
                 std::string_view(aArguments[2]) == "--bin";
  if (garbage) {
    return static_cast<int>(RunGarbage(aArguments[3]));
  }
  RunOptions options;
  if (!ParseArguments(aCount, aArguments, options)) {
    std::cerr << kUsage;
    return static_cast<int>(RunResult::Usage);
  }
  return static_cast<int>(RunScenario(options));
}
