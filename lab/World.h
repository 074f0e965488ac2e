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

/** All that a scenario needs around its callers: the stand-ins, the processes
 * and the configuration. Not thread safe: belongs to an executor of one
 * thread.
 */
struct World
{
  Scenario mScenario;
  boost::asio::any_io_executor mExecutor;
  /** For settings, logs and configurations. */
  std::string mFolder;
  std::string mBin;
  std::unique_ptr<Platform> mPlatform;
  std::unique_ptr<Fabric> mFabric;
  std::unique_ptr<Fleet> mFleet;
  std::map<std::string, std::unique_ptr<Backend>> mBackends;
  ExecutionLog mExecutions;
  CallerRecord mCallers;
  /** The base configuration with the run's addresses and hosts. */
  boost::json::value mConfiguration;
  /** Service to its address towards callers. */
  std::map<std::string, Address> mServices;
  /** Since when which policy was in force. */
  std::vector<std::pair<Time, std::string>> mPolicies;
  /** Commands by how they ended: "apply.ok", "apply.conflict", ... */
  std::map<std::string, std::uint64_t> mCommands;
  std::size_t mFiles = 0;

  /** Makes stand-ins and places by the scenario; nothing is started yet.
   * InvalidInput or System if that can't be. */
  Result<void> Prepare();

  /** Has the operator apply a configuration and gives the exit code: the
   * run's own, or if aSet is not empty the one in force (by "get") with the
   * members at its JSON pointers replaced. */
  Awaitable<int> Apply(boost::json::object aSet);

  /** Has the operator put a policy in force; gives the exit code. */
  Awaitable<int> SetPolicy(std::string aName);

  /** Runs heatherplank with these arguments, as an operator would. */
  Awaitable<int> Command(std::string aName,
                         std::vector<std::string> aArguments);
  /** Notes that a policy is in force from now on. */
  void NotePolicy(const std::string& aName);

private:
  /** Writes the configuration in force to a file. */
  Awaitable<void> Get(std::string aPath);
  Result<void> PrepareService(boost::json::value& aService);
};

} // namespace heatherplank::lab
