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
  /** Times the deployment's ordinary rates. */
  double mFactor = 1;
  /** Hosts that work mSlowness times as long, unknown to anybody. */
  std::size_t mSlowHosts = 0;
  double mSlowness = 1;
};

/** A deployment's hosts and traffic, and the loads to compare placements under.
 */
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

/** What one placement gave under one load. */
struct FlowResult
{
  FlowPlacement mPlacement;
  std::vector<FlowTally> mTallies;
  double mImbalance = 1;
  /** See FlowFarm::LostAfterOneLeft. */
  double mLost = 0;
};

/** Reads JSON with comments; InvalidInput that lists every fault with its
 * remedy. aName stands in messages. */
Result<FlowExperiment> ParseFlowExperiment(std::string_view aText,
                                           const std::string& aName);

/** Plays one load with every placement, each from the same seed. */
std::vector<FlowResult> PlayFlowLoad(const FlowExperiment& aExperiment,
                                     const FlowLoad& aLoad);

/** The results as a Markdown table, one row a placement and class. */
std::string FlowTable(const FlowExperiment& aExperiment,
                      std::span<const FlowResult> aResults);

/** Plays the file's experiment, prints its tables and draws its last load into
 * aSvg if that is not empty. */
Result<void> RunFlowExperiment(const std::string& aFile,
                               const std::string& aSvg);

} // namespace heatherplank::lab
