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

/** One kind of request and how many of them come; see docs/LAB.md. */
struct LoadSpec
{
  std::string mService;
  /** Name in the report ("claims"). */
  std::string mClass;
  std::string mMethod = "GET";
  std::string mPath = "/";
  /** Requests a second, whatever the answers; 0: each flow sends its next
   * request mThink after the answer. */
  double mRate = 0;
  /** Flows open at once. */
  std::size_t mFlows = 1;
  /** A flow ends after so many and another opens; 0: it never ends. */
  std::size_t mRequestsPerFlow = 0;
  Duration mThink = std::chrono::milliseconds(100);
  /** Size of the answer's body asked for. */
  std::size_t mAnswerBytes = 200;
  /** Size of the request's body. */
  std::size_t mBodyBytes = 0;
  Duration mTimeout = std::chrono::milliseconds(2000);
  /** Each request carries an Idempotency-Key of its own. */
  bool mKey = false;
  /** Each key is sent on so many flows at once. */
  std::size_t mCopies = 1;
  /** Attempts, the first included, while the answer is "not-run". */
  std::size_t mTries = 4;
};

/** What the fabric does to datagrams, each way. */
struct FabricSpec
{
  Duration mDelay = std::chrono::milliseconds(1);
  /** Share of datagrams that are lost. */
  double mLoss = 0;
  /** Share that come mReorderDelay later than the rest. */
  double mReorder = 0;
  Duration mReorderDelay = std::chrono::milliseconds(5);
  /** How long packets still go to a balancer that is gone. */
  Duration mNotice = std::chrono::milliseconds(200);
};

/** Service time of the paths that begin with a prefix. */
struct ServiceTime
{
  std::string mPrefix;
  Duration mMean = std::chrono::milliseconds(5);
  /** Uniform within mMean * (1 +- mSpread). */
  double mSpread = 0.2;
};

/** How backend servers behave. */
struct BackendSpec
{
  std::size_t mSlots = 2;
  /** Requests beyond the slots that wait; more are shed with 503. */
  std::size_t mQueue = 8;
  std::vector<ServiceTime> mTimes;
  /** Service times are mColdFactor longer for so long after a start. */
  Duration mCold{};
  double mColdFactor = 4;
  /** The health and load endpoints tell what was so long ago. */
  Duration mHintLag{};
  /** The endpoints always say "serving" and "busy": 0. */
  bool mLies = false;
};

/** Limits of the platform's API. */
struct PlatformSpec
{
  std::size_t mWritesPerSecond = 300;
  std::size_t mReadsPerSecond = 2000;
  Duration mDelay = std::chrono::milliseconds(2);
};

/** A fault or an operator's deed at a moment of the run. */
struct FaultSpec
{
  Duration mAt{};
  std::string mDo;
  std::string mTarget;
  /** The other side of a cut. */
  std::string mFrom;
  /** A target that ends in "*" means each in turn, so long apart. */
  Duration mStep = std::chrono::milliseconds(500);
  /** Meaning by mDo: delay in ms, or share of answers lost. */
  double mValue = 0;
  /** JSON pointer to value, laid over the base configuration by "apply". */
  boost::json::object mSet;
};

/** A bound on a key of the report. */
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
  /** Extra time for the last answers. */
  Duration mGrace = std::chrono::milliseconds(1000);
  /** Data centres of balancer-1, balancer-2, ... */
  std::vector<std::string> mBalancers;
  /** Names of processes that only a "start" starts. */
  std::vector<std::string> mSpare;
  /** Service to hosts kept of the base; all where absent. */
  std::map<std::string, std::size_t> mHosts;
  /** Age from which agents confirm keys; their default where absent. */
  std::optional<Duration> mConfirmAfter;
  std::vector<LoadSpec> mLoad;
  FabricSpec mFabric;
  BackendSpec mBackend;
  /** Host to its own behaviour, in place of mBackend. */
  std::map<std::string, BackendSpec> mBackends;
  PlatformSpec mPlatform;
  std::vector<FaultSpec> mFaults;
  std::vector<Expectation> mExpect;
};

/** Reads a JSON file that may hold comments; InvalidInput names the file.
 * Thread safe.
 */
Result<boost::json::value> ReadJsonFile(const std::string& aPath);

/** Reads a scenario; an unknown key or a wrong type is InvalidInput, so that
 * no expectation is lost to a typing error. Thread safe.
 */
Result<Scenario> ReadScenario(const std::string& aPath);

} // namespace heatherplank::lab
