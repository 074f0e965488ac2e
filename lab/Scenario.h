#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"

namespace heatherplank::lab {

/** A kind of request and its rate; see docs/LAB.md. */
struct LoadSpec
{
  std::string mService;
  /** Name in the report ("claims"). */
  std::string mClass;
  std::string mMethod = "GET";
  std::string mPath = "/";
  /** Requests a second, independent of answers; 0: each flow sends its next
   * request mThink after the answer. */
  double mRate = 0;
  /** Number of concurrent flows. */
  std::size_t mFlows = 1;
  /** Requests after which a flow is replaced by a new one; 0: never. */
  std::size_t mRequestsPerFlow = 0;
  Duration mThink = std::chrono::milliseconds(100);
  /** Requested size of the answer's body. */
  std::size_t mAnswerBytes = 200;
  /** Size of the request's body. */
  std::size_t mBodyBytes = 0;
  Duration mTimeout = std::chrono::milliseconds(2000);
  /** Each request carries an Idempotency-Key of its own. */
  bool mKey = false;
  /** Number of flows on which each key is sent concurrently. */
  std::size_t mCopies = 1;
  /** Maximum number of attempts while the answer is "not-run". */
  std::size_t mTries = 4;
};

/** Impairments of datagrams by the fabric, in each direction. */
struct FabricSpec
{
  Duration mDelay = std::chrono::milliseconds(1);
  /** Fraction of datagrams that are dropped. */
  double mLoss = 0;
  /** Fraction of datagrams that are delayed by mReorderDelay. */
  double mReorder = 0;
  Duration mReorderDelay = std::chrono::milliseconds(5);
  /** How long packets are still sent to a balancer that has ended. */
  Duration mNotice = std::chrono::milliseconds(200);
};

/** Service time of requests whose path begins with a prefix. */
struct ServiceTime
{
  std::string mPrefix;
  Duration mMean = std::chrono::milliseconds(5);
  /** Uniform within mMean * (1 +- mSpread). */
  double mSpread = 0.2;
};

/** Behaviour of backend servers. */
struct BackendSpec
{
  std::size_t mSlots = 2;
  /** Requests queued beyond the slots; further ones are answered with 503. */
  std::size_t mQueue = 8;
  std::vector<ServiceTime> mTimes;
  /** How long after a start service times are multiplied by mColdFactor. */
  Duration mCold{};
  double mColdFactor = 4;
  /** Age of the state that the health and load endpoints report. */
  Duration mHintLag{};
  /** The endpoints always report "serving" and "busy": 0. */
  bool mLies = false;
};

/** Limits of the platform's API. */
struct PlatformSpec
{
  std::size_t mWritesPerSecond = 300;
  std::size_t mReadsPerSecond = 2000;
  Duration mDelay = std::chrono::milliseconds(2);
};

/** A fault or an operator's action at a given time of the run. */
struct FaultSpec
{
  Duration mAt{};
  std::string mDo;
  std::string mTarget;
  /** The other side of a cut. */
  std::string mFrom;
  /** Interval between the matches of a target that ends in "*". */
  Duration mStep = std::chrono::milliseconds(500);
  /** By mDo: a delay in ms, or the fraction of answers lost. */
  double mValue = 0;
  /** Values by JSON pointer that "apply" sets in the base configuration. */
  boost::json::object mSet;
};

/** A bound on the value of a key in the report. */
struct Expectation
{
  std::string mKey;
  std::optional<double> mMin;
  std::optional<double> mMax;
};

/** A scenario, as read from its file. */
struct Scenario
{
  std::string mName;
  /** Path of the base configuration. */
  std::string mBase;
  std::size_t mSeed = 1;
  Duration mDuration = std::chrono::seconds(5);
  /** Time to wait for the last answers. */
  Duration mGrace = std::chrono::milliseconds(1000);
  /** Data centres of balancer-1, balancer-2, ... */
  std::vector<std::string> mBalancers;
  /** Names of processes that are started only by a fault "start". */
  std::vector<std::string> mSpare;
  /** Number of hosts of the base used for each service; all if absent. */
  std::map<std::string, std::size_t> mHosts;
  /** Age from which agents confirm keys; their default if absent. */
  std::optional<Duration> mConfirmAfter;
  std::vector<LoadSpec> mLoad;
  FabricSpec mFabric;
  BackendSpec mBackend;
  /** Behaviour of single hosts, instead of mBackend. */
  std::map<std::string, BackendSpec> mBackends;
  PlatformSpec mPlatform;
  std::vector<FaultSpec> mFaults;
  std::vector<Expectation> mExpect;
};

/** Reads a JSON file that may contain comments; InvalidInput names the file.
 * Thread safe.
 */
Result<boost::json::value> ReadJsonFile(const std::string& aPath);

/** Reads a scenario. An unknown key or a wrong type is InvalidInput: an
 * expectation with a misspelled key would never fail. Thread safe.
 */
Result<Scenario> ReadScenario(const std::string& aPath);

} // namespace heatherplank::lab
