#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "include/heatherplank/Clock.h"
#include "lab/Scenario.h"

namespace heatherplank::lab {

/** The last word that a caller got on a request. */
enum class FinalAnswer : std::uint8_t
{
  None,
  Run,
  NotRun,
  Unknown,
};

/** What a caller saw of one request, all its attempts together. */
struct RequestRecord
{
  const LoadSpec* mLoad = nullptr;
  std::size_t mFlow = 0;
  std::string mKey;
  /** Id of the last attempt. */
  std::string mLastId;
  std::string mPolicy;
  Time mStart;
  Time mEnd;
  FinalAnswer mFinal = FinalAnswer::None;
  /** The refusal reason of the last answer that had one. */
  std::string mReason;
  /** A 202 came: the request was taken in and waits. */
  bool mAccepted = false;
  bool mWrongService = false;
  bool mWrongAnswer = false;
};

/** What a caller saw of one flow. */
struct FlowRecord
{
  const LoadSpec* mLoad = nullptr;
  std::string mPolicy;
  std::string mEpoch;
  /** At least one request was run. */
  bool mEstablished = false;
  bool mBroken = false;
  /** Why, if it broke. */
  std::string mWhy;
};

/** What all callers saw. References stay valid while it grows. */
struct CallerRecord
{
  std::deque<RequestRecord> mRequests;
  std::deque<FlowRecord> mFlows;
  /** Answers by the reason of refusal. */
  std::map<std::string, std::uint64_t> mRefusals;
  /** Further attempts by the reason: "no-answer" (same id again),
   * "missing-range", or that of the refusal. */
  std::map<std::string, std::uint64_t> mRetries;
  /** Refusals that did not say when to come back. */
  std::uint64_t mNoRetryAfter = 0;
  /** Answers to a request that this flow never sent. */
  std::uint64_t mForeignAnswers = 0;
  /** The policy in force now. */
  std::string mPolicy;
  /** Requests without a last word yet. */
  std::size_t mOpen = 0;
};

} // namespace heatherplank::lab
