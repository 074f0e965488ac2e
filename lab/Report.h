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

/** What a report is made of. */
struct Evidence
{
  const Scenario* mScenario = nullptr;
  const CallerRecord* mCallers = nullptr;
  const ExecutionLog* mExecutions = nullptr;
  /** Service to hosts that were there, untouched by faults, throughout. */
  std::map<std::string, std::set<std::string>> mSteadyHosts;
  /** Since when which policy was in force, in order. */
  std::vector<std::pair<Time, std::string>> mPolicies;
};

/** Compares what callers saw with what backend servers ran; docs/LAB.md
 * defines each key. Every loss is a count of that comparison. Thread safe.
 */
boost::json::object MakeReport(const Evidence& aEvidence);

/** The expectations that the report does not meet, one line each; a key that
 * the report does not have counts as 0. Thread safe.
 */
std::vector<std::string> CheckExpectations(const Scenario& aScenario,
                                           const boost::json::object& aReport);

/** The report for people, a few lines. Thread safe. */
std::string DescribeReport(const boost::json::object& aReport);

} // namespace heatherplank::lab
