#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include <unistd.h>

#include "lab/Garbage.h"
#include "lab/Run.h"
#include "lab/flows/FlowExperiment.h"
#include "lab/soak/FlowSoak.h"

using namespace heatherplank::lab;

namespace {

constexpr const char* kUsage =
  "usage: lab run SCENARIO.json --bin PATH/heatherplank [--keep]\n"
  "       lab flows EXPERIMENT.json [--svg=FILE]\n"
  "       lab garbage --bin PATH/heatherplank\n"
  "       lab soak --bin PATH/heatherplank [--seed N] [--seconds S]\n"
  "           [--balancers B] [--hosts H] [--wide] [--restore]\n"
  "           [--silent] [--odd] [--long] [--leave] [--power] [--resets]\n"
  "Plays a scenario with real processes, throws garbage at their ports, or\n"
  "compares placements of opaque flows on a deployment's load\n"
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

/** Turns on a fault or check of the soak. Returns false if there is none of
 * this name. */
bool TurnOn(std::string_view aSwitch, SoakOptions& aOut)
{
  static constexpr std::pair<std::string_view, bool SoakOptions::*>
    kSwitches[] = {
      { "--wide", &SoakOptions::mWide },
      { "--restore", &SoakOptions::mRestoresStore },
      { "--silent", &SoakOptions::mSilencesStore },
      { "--odd", &SoakOptions::mWritesOddEntries },
      { "--long", &SoakOptions::mLongFlows },
      { "--leave", &SoakOptions::mRouteLeavesService },
      { "--power", &SoakOptions::mLosesPower },
      { "--resets", &SoakOptions::mChecksResets },
    };
  for (const auto& [name, option] : kSwitches) {
    if (name == aSwitch) {
      aOut.*option = true;
      return true;
    }
  }
  return false;
}

/** Runs one seed of the soak of opaque flows. */
int Soak(int aCount, char** aArguments)
{
  SoakOptions options;
  for (int i = 2; i < aCount; i += 2) {
    std::string_view argument = aArguments[i];
    if (TurnOn(argument, options)) {
      --i;
      continue;
    }
    if (i + 1 == aCount) {
      std::cerr << kUsage;
      return static_cast<int>(RunResult::Usage);
    }
    const char* value = aArguments[i + 1];
    if (argument == "--bin") {
      options.mBin = value;
    } else if (argument == "--seed") {
      options.mSeed = std::strtoull(value, nullptr, 10);
    } else if (argument == "--seconds") {
      options.mSeconds = std::atoi(value);
    } else if (argument == "--balancers") {
      options.mBalancers = std::atoi(value);
    } else if (argument == "--hosts") {
      options.mHosts = std::atoi(value);
    } else {
      std::cerr << kUsage;
      return static_cast<int>(RunResult::Usage);
    }
  }
  // The last byte of a loopback address numbers balancers and hosts.
  bool fits = options.mBalancers >= 1 && options.mBalancers <= 49 &&
              options.mHosts >= 3 && options.mHosts <= 190 &&
              options.mSeconds >= 1;
  bool needsLong = options.mRouteLeavesService || options.mLosesPower;
  bool complete = (options.mLongFlows || !needsLong) &&
                  (options.mLosesPower || !options.mChecksResets);
  if (options.mBin.empty() || !fits || !complete) {
    std::cerr << kUsage << "--balancers 1 to 49, --hosts 3 to 190, --leave and "
              << "--power with --long, --resets with --power\n";
    return static_cast<int>(RunResult::Usage);
  }
  options.mFolder = "/tmp/heatherplank-soak-" + std::to_string(getpid()) + "-" +
                    std::to_string(options.mSeed);
  return static_cast<int>(RunSoak(options) ? RunResult::Met : RunResult::Unmet);
}

/** Compares placements of opaque flows. */
int Flows(int aCount, char** aArguments)
{
  constexpr std::string_view kSvg = "--svg=";
  std::string file;
  std::string svg;
  for (int i = 2; i < aCount; ++i) {
    std::string_view argument = aArguments[i];
    if (argument.starts_with(kSvg)) {
      svg = argument.substr(kSvg.size());
    } else {
      file = argument;
    }
  }
  if (file.empty()) {
    std::cerr << kUsage;
    return static_cast<int>(RunResult::Usage);
  }
  auto done = RunFlowExperiment(file, svg);
  if (!done) {
    std::cerr << "lab: " << done.error().Describe() << "\n";
    return static_cast<int>(RunResult::Usage);
  }
  return static_cast<int>(RunResult::Met);
}

} // namespace

int main(int aCount, char** aArguments)
{
  bool garbage = aCount == 4 && std::string_view(aArguments[1]) == "garbage" &&
                 std::string_view(aArguments[2]) == "--bin";
  if (garbage) {
    return static_cast<int>(RunGarbage(aArguments[3]));
  }
  if (aCount > 1 && std::string_view(aArguments[1]) == "flows") {
    return Flows(aCount, aArguments);
  }
  if (aCount > 1 && std::string_view(aArguments[1]) == "soak") {
    return Soak(aCount, aArguments);
  }
  RunOptions options;
  if (!ParseArguments(aCount, aArguments, options)) {
    std::cerr << kUsage;
    return static_cast<int>(RunResult::Usage);
  }
  return static_cast<int>(RunScenario(options));
}
