#pragma once

#include <map>
#include <string>

#include <boost/json/array.hpp>

#include "lab/Report.h"

namespace heatherplank::lab {

/** What all attempts under one idempotency key came to. */
struct KeyHistory
{
  std::size_t mRuns = 0;
  Time mLastAnswer;
  FinalAnswer mLast = FinalAnswer::None;
};

/** The histories of all keys that ran or were answered. Thread safe. */
std::map<std::string, KeyHistory> CollectKeys(const Evidence& aEvidence);

/** Lines on what went wrong, a bounded number of each kind. Thread safe. */
boost::json::array DescribeDetails(const Evidence& aEvidence);

} // namespace heatherplank::lab
