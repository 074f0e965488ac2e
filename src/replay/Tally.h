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

/** What callers of one class got. */
struct ClassTally
{
  /** Requests, each counted once however often its caller came back. */
  std::uint64_t mOffered = 0;
  /** Times that a request was sent, returns included. */
  std::uint64_t mAttempts = 0;
  std::uint64_t mAnswered = 0;
  /** Run, but not answered by the deadline. */
  std::uint64_t mLate = 0;
  /** Answered with an error of the backend server. */
  std::uint64_t mFailed = 0;
  /** Requests whose last attempt was refused. */
  std::uint64_t mRefused = 0;
  /** Refused attempts that were told when to come back. */
  std::uint64_t mTold = 0;
  std::uint64_t mRefusedAttempts = 0;
  std::uint64_t mHandedOn = 0;
  std::uint64_t mRetried = 0;
  /** Ran a second time after a first run with an unknown end. */
  std::uint64_t mRunTwice = 0;
  std::array<std::uint64_t, kRefusalReasons> mByReason{};
  /** Of answers in time, from the attempt that got it. */
  std::vector<Duration> mLatencies;
  /** Of refusals: how long the caller waited for it. */
  std::vector<Duration> mRefusalWaits;
  /** Slot time that was wanted, and that went into answers in time. */
  Duration mWantedWork{};
  Duration mAnsweredWork{};
  /** When each answer in time came, and the slot time in it. */
  std::vector<std::pair<Duration, Duration>> mAnswers;
};

/** What one host did. */
struct HostTally
{
  std::uint64_t mAnswered = 0;
  Duration mBusy{};
};

/** The outcome of a replay, since it began or was last reset. */
struct Tally
{
  std::map<std::string, ClassTally, std::less<>> mClasses;
  std::map<std::string, HostTally, std::less<>> mHosts;
  Duration mFrom{};
  Duration mLastArrival{};
  std::uint32_t mSlots = 0;
  std::uint32_t mMostOut = 0;
  /** Of each second with work, the busiest host's slot time over the mean. */
  std::vector<double> mImbalances;

  /** All classes in one. */
  ClassTally Sum() const;

  /** A figure by name, of a class ("" for all) or, where it is one of a host,
   * of a host; none if the figure or its subject is unknown. */
  std::optional<double> Figure(std::string_view aName, std::string_view aClass,
                               std::string_view aHost) const;
};

/** The names that Tally::Figure knows, for messages. */
std::string FigureNames();

} // namespace heatherplank::replay
