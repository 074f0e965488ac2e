#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/decide/Reasons.h"

namespace heatherplank::replay {

/** The outcomes of the requests of one class. Slot time: time for which a
 * request occupies one of a host's slots (concurrent requests). */
struct ClassTally
{
  /** Requests; one that its caller sends again counts once. */
  std::uint64_t mOffered = 0;
  /** Attempts by callers, including those after a refusal. */
  std::uint64_t mAttempts = 0;
  std::uint64_t mAnswered = 0;
  /** Not answered by the deadline, although dispatched. */
  std::uint64_t mLate = 0;
  /** Answered with an error by the backend server. */
  std::uint64_t mFailed = 0;
  /** Requests whose last attempt was refused. */
  std::uint64_t mRefused = 0;
  /** Refusals that carried a retry time. */
  std::uint64_t mRefusalsWithRetryTime = 0;
  std::uint64_t mRefusedAttempts = 0;
  std::uint64_t mForwarded = 0;
  std::uint64_t mRetried = 0;
  /** Runs of a request that may have run before. */
  std::uint64_t mRunTwice = 0;
  std::array<std::uint64_t, kRefusalReasons> mByReason{};
  /** Time from the last attempt to the answer, for each answer in time. */
  std::vector<Duration> mLatencies;
  /** Time from the attempt to its refusal, for each refused attempt. */
  std::vector<Duration> mRefusalWaits;
  /** Slot time that the offered requests need on healthy hosts. */
  Duration mWantedWork{};
  /** The part of mWantedWork that was answered in time. */
  Duration mAnsweredWork{};
  /** For each answer in time: its time since the start, and its request's
   * slot time on a healthy host. */
  std::vector<std::pair<Duration, Duration>> mAnswers;
};

/** The work of one host. */
struct HostTally
{
  std::uint64_t mAnswered = 0;
  /** Slot time used, whatever the outcome. */
  Duration mBusy{};
};

/** The counts of a replay since its start or the last reset. */
struct Tally
{
  std::map<std::string, ClassTally, std::less<>> mClasses;
  std::map<std::string, HostTally, std::less<>> mHosts;
  Duration mCountingSince{};
  Duration mLastArrival{};
  std::uint32_t mSlots = 0;
  /** The largest number of hosts ejected at the same time. */
  std::uint32_t mMaxEjected = 0;
  /** For each second with work: the busiest host's slot time over the mean. */
  std::vector<double> mImbalances;

  /** The sum over all classes. */
  ClassTally Sum() const;

  /** The figure called aName, for a class ("" for all classes) or, if it is a
   * figure of a host, for a host. Empty if the figure, class or host is
   * unknown.
   */
  std::optional<double> Figure(std::string_view aName, std::string_view aClass,
                               std::string_view aHost) const;
};

/** The names that Tally::Figure accepts, separated by commas, for messages. */
std::string FigureNames();

} // namespace heatherplank::replay
