#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "lab/Backend.h"
#include "lab/Fabric.h"
#include "lab/Fleet.h"
#include "lab/Platform.h"
#include "lab/Record.h"
#include "lab/Scenario.h"

namespace heatherplank::lab {

/** The environment of a scenario's callers: the simulated platform, fabric and
 * backend servers, the real processes and the configuration. Not thread safe:
 * used only on the thread of the executor.
 */
struct World
{
  Scenario mScenario;
  boost::asio::any_io_executor mExecutor;
  /** Folder for settings, logs and configurations. */
  std::string mFolder;
  std::string mBin;
  std::unique_ptr<Platform> mPlatform;
  std::unique_ptr<Fabric> mFabric;
  std::unique_ptr<Fleet> mFleet;
  std::map<std::string, std::unique_ptr<Backend>> mBackends;
  ExecutionLog mExecutions;
  CallerRecord mCallers;
  /** The base configuration, with the addresses and hosts of this run. */
  boost::json::value mConfiguration;
  /** The address of each service for callers. */
  std::map<std::string, Address> mServices;
  /** The policies in force, each with the time since when. */
  std::vector<std::pair<Time, std::string>> mPolicies;
  /** Number of commands by result: "apply.ok", "apply.conflict", ... */
  std::map<std::string, std::uint64_t> mCommands;
  std::size_t mFiles = 0;

  /** Creates everything that the scenario names, without starting a process.
   * InvalidInput if the scenario is inconsistent, System if a port or file
   * can't be opened. */
  Result<void> Prepare();

  /** Applies a configuration by the command line and returns the exit code. It
   * is mConfiguration or, if aSet is not empty, the one in force with the
   * values at the JSON pointers in aSet replaced. */
  Awaitable<int> Apply(boost::json::object aSet);

  /** Puts a policy in force by the command line; returns the exit code. */
  Awaitable<int> SetPolicy(std::string aName);

  /** Runs the heatherplank command line with these arguments. */
  Awaitable<int> Command(std::string aName,
                         std::vector<std::string> aArguments);
  /** Records that a policy is in force from now on. */
  void NotePolicy(const std::string& aName);

private:
  /** Writes the configuration in force to a file. */
  Awaitable<void> Get(std::string aPath);
  Result<void> PrepareService(boost::json::value& aService);
};

} // namespace heatherplank::lab
