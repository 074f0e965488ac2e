#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "include/heatherplank/Clock.h"
#include "lab/Scenario.h"

namespace heatherplank::lab {

/** The final outcome of a request as reported to its caller. */
enum class FinalAnswer : std::uint8_t
{
  None,
  Run,
  NotRun,
  Unknown,
};

/** A request as observed by its caller, over all attempts. */
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
  /** A 202 arrived: the request was accepted and is queued. */
  bool mAccepted = false;
  bool mWrongService = false;
  bool mWrongAnswer = false;
};

/** A flow as observed by its caller. */
struct FlowRecord
{
  const LoadSpec* mLoad = nullptr;
  std::string mPolicy;
  std::string mEpoch;
  /** At least one request was executed. */
  bool mEstablished = false;
  bool mBroken = false;
  /** Why, if it broke. */
  std::string mWhy;
};

/** The observations of all callers. References stay valid as it grows. */
struct CallerRecord
{
  std::deque<RequestRecord> mRequests;
  std::deque<FlowRecord> mFlows;
  /** Number of refusals by reason. */
  std::map<std::string, std::uint64_t> mRefusals;
  /** Number of retries by reason: "no-answer" (with the same id),
   * "missing-range", or the reason of the refusal. */
  std::map<std::string, std::uint64_t> mRetries;
  /** Refusals without a retry time. */
  std::uint64_t mNoRetryAfter = 0;
  /** Answers to requests that the flow never sent. */
  std::uint64_t mForeignAnswers = 0;
  /** The policy in force now. */
  std::string mPolicy;
  /** Requests without a final outcome yet. */
  std::size_t mOpen = 0;
};

} // namespace heatherplank::lab
