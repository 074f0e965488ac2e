#pragma once

#include <map>
#include <string>

#include <boost/json/array.hpp>

#include "lab/Report.h"

namespace heatherplank::lab {

/** Summary of all attempts with one idempotency key. */
struct KeyHistory
{
  std::size_t mRuns = 0;
  Time mLastAnswer;
  FinalAnswer mLast = FinalAnswer::None;
};

/** Returns the histories of all keys that ran or were answered. Thread safe. */
std::map<std::string, KeyHistory> CollectKeys(const Evidence& aEvidence);

/** Describes the violations of a run, a bounded number of each kind. Thread
 * safe. */
boost::json::array DescribeDetails(const Evidence& aEvidence);

} // namespace heatherplank::lab
