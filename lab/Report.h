#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

#include "lab/Backend.h"
#include "lab/Record.h"
#include "lab/Scenario.h"

namespace heatherplank::lab {

/** The observations that a report is computed from. */
struct Evidence
{
  const Scenario* mScenario = nullptr;
  const CallerRecord* mCallers = nullptr;
  const ExecutionLog* mExecutions = nullptr;
  /** By service: the hosts that ran throughout without a fault. */
  std::map<std::string, std::set<std::string>> mSteadyHosts;
  /** The policies in force, each with the time since when, in order. */
  std::vector<std::pair<Time, std::string>> mPolicies;
};

/** Compares the observations of callers with the executions of backend servers.
 * docs/LAB.md defines each key. Thread safe.
 */
boost::json::object MakeReport(const Evidence& aEvidence);

/** Returns a line for each expectation that the report does not meet; a key
 * missing from the report counts as 0. Thread safe.
 */
std::vector<std::string> CheckExpectations(const Scenario& aScenario,
                                           const boost::json::object& aReport);

/** Returns a summary of the report in a few lines. Thread safe. */
std::string DescribeReport(const boost::json::object& aReport);

} // namespace heatherplank::lab
