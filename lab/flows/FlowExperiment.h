#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "lab/flows/FlowFarm.h"

namespace heatherplank::lab {

/** A load under which placements are compared. */
struct FlowLoad
{
  std::string mName;
  /** Factor on the ordinary rates of the deployment. */
  double mFactor = 1;
  /** Number of hosts whose requests take mSlowness times as long; no process is
   * notified of it. */
  std::size_t mSlowHosts = 0;
  double mSlowness = 1;
};

/** A deployment's hosts and traffic, and the loads under which placements are
 * compared. */
struct FlowExperiment
{
  std::string mTitle;
  std::size_t mHosts = 1;
  std::uint32_t mSlots = 2;
  double mSeconds = 20;
  unsigned mSeed = 1;
  std::vector<FlowClass> mClasses;
  std::vector<FlowLoad> mLoads;
};

/** The result of one placement under one load. */
struct FlowResult
{
  FlowPlacement mPlacement;
  std::vector<FlowTally> mTallies;
  double mImbalance = 1;
  /** See FlowFarm::LostAfterOneLeft. */
  double mLost = 0;
};

/** Parses JSON with comments. InvalidInput lists every error with its remedy;
 * aName appears in the messages. */
Result<FlowExperiment> ParseFlowExperiment(std::string_view aText,
                                           const std::string& aName);

/** Simulates one load with every placement, each from the same seed. */
std::vector<FlowResult> PlayFlowLoad(const FlowExperiment& aExperiment,
                                     const FlowLoad& aLoad);

/** Returns the results as a Markdown table, a row per placement and class. */
std::string FlowTable(const FlowExperiment& aExperiment,
                      std::span<const FlowResult> aResults);

/** Runs the experiment in a file, prints its tables and plots its last load to
 * the file aSvg if that is not empty. */
Result<void> RunFlowExperiment(const std::string& aFile,
                               const std::string& aSvg);

} // namespace heatherplank::lab
