#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/decide/AdmissionPolicy.h"
#include "src/decide/BalancingPolicy.h"
#include "src/decide/OutlierDetector.h"
#include "src/decide/Retry.h"
#include "src/decide/RetryTimePlanner.h"
#include "src/decide/SlowStart.h"
#include "src/replay/Tally.h"

namespace heatherplank::replay {

/** What a caller does after a refusal. */
enum class Returning : std::uint8_t
{
  /** It gives up. */
  Never,
  /** It sends the request again after the refusal's retry time. */
  AsTold,
  /** It sends the request again after 50 ms and ignores the retry time. */
  AtOnce,
};

/** The service, the policies and the callers that a Player simulates. */
struct PlayerOptions
{
  Service mService;
  std::string mAdmission = "reservation";
  std::string mBalancing = "two-choices";
  ClassOrder mOrder = ClassOrder::Importance;
  AdmissionGuards mGuards;
  /** "consecutive", "compared" or "off". */
  std::string mOutlier = "compared";
  /** "time", "answers" or "off". */
  std::string mSlowStart = "time";
  bool mRetryBudget = true;
  Returning mReturning = Returning::Never;
  std::uint32_t mMostReturns = 0;
  std::uint64_t mSeed = 1;
};

/** How a backend server behaves. */
struct Behaviour
{
  /** Factor on the duration of each request. */
  double mSlowness = 1.0;
  /** It answers each request with an error after 1 ms. */
  bool mFails = false;
  /** It sheds each request after 1 ms. */
  bool mSheds = false;
  /** Connections to it fail. */
  bool mDown = false;
};

/** A simulated request. */
struct Arrival
{
  std::uint16_t mClass = 0;
  /** If set, the request is counted under "CLASS/GROUP" instead of its class.
   */
  std::string mGroup;
  std::uint64_t mCaller = 0;
  /** The flow's key; a caller may have several flows. */
  std::uint64_t mFlow = 0;
  /** In bytes, 0 if unknown; see src/decide/Request.h. */
  std::uint32_t mSize = 0;
  /** Its duration on a healthy host. */
  Duration mTakes{};
  /** Relative to the time of each attempt; zero for the default of its class.
   */
  Duration mDeadline{};
};

/** Plays events into the decision code of several hosts on a simulated clock.
 *
 * This is a driver as described in docs/DECISIONS.md, with a minimal simulated
 * fleet: the balancing policy assigns each flow to one of four candidates,
 * hosts exchange load figures every 100 ms, and a backend server consists of a
 * service time and a Behaviour. All randomness is seeded: the same options and
 * events give the same tally. Not thread safe.
 */
class Player
{
public:
  /** InvalidInput if a policy's name is unknown or the service has no hosts.
   */
  static Result<std::unique_ptr<Player>> Make(const PlayerOptions& aOptions);
  ~Player();
  Player(const Player&) = delete;
  Player& operator=(const Player&) = delete;

  /** Schedules aCallback at aTime after the start of the replay. Precondition:
   * aTime is not in the past. */
  void At(Duration aTime, std::function<void()> aCallback);

  /** Sends a request at the current time. */
  void Arrive(const Arrival& aArrival);

  /** Sets how a host's backend server behaves from now on. */
  void Behave(std::size_t aHost, const Behaviour& aBehaviour);
  /** Restarts the host: its requests take five times as long at first, and
   * nearly the normal time after about 30 answers. */
  void ColdStart(std::size_t aHost);
  void Drain(std::size_t aHost);
  void SetSlots(std::size_t aHost, std::uint32_t aSlots);
  /** Sets what the host's health endpoint reports. */
  void Hint(std::size_t aHost, bool aHealthy);
  /** Sets whether the platform is available. While it is down, requests that
   * must never be repeated can't be recorded and are refused. */
  void SetPlatform(bool aUp);
  /** Clears the tally. Requests in progress are still counted when they end. */
  void ResetTally();

  /** Plays all events up to aTime after the start of the replay. */
  void RunUntil(Duration aTime);
  /** Plays until no request is in progress and no call of At() is pending, for
   * 10 minutes of simulated time at most. */
  void RunToEnd();

  std::size_t Hosts() const { return mHosts.size(); }
  /** The simulated time since the start of the replay. */
  Duration Now() const { return mNow - mStart; }
  const Tally& GetTally() const { return mTally; }

private:
  // A request, from its arrival until its caller receives the outcome.
  struct RequestState
  {
    Arrival mArrival;
    Time mSentAt;
    Time mDeadline;
    std::uint16_t mHops = 0;
    std::uint32_t mReturns = 0;
    bool mMayHaveRun = false;
  };

  struct Host
  {
    HostId mId;
    std::string mName;
    std::unique_ptr<AdmissionPolicy> mAdmission;
    std::unique_ptr<BalancingPolicy> mBalancing;
    Behaviour mBehaviour;
    HostLoad mLastLoad;
    bool mWasEjected = false;
    bool mIsDraining = false;
    bool mIsCold = false;
    std::uint32_t mAnswersSinceStart = 0;
    std::optional<Time> mWakeAt;
    // Slot time used since the last call of RecordImbalance.
    Duration mBusy{};

    // The factor on a request's duration, compared with a healthy host.
    double SlownessFactor() const;
  };

  struct Event
  {
    Time mAt;
    std::uint64_t mSequence;
    std::function<void()> mCallback;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };

  explicit Player(const PlayerOptions& aOptions);

  std::optional<Error> AddHost(const std::string& aName);
  std::optional<Error> AddHealthTracking();
  void ScheduleAfter(Duration aDelay, std::function<void()> aCallback);
  void Step();
  void ExchangeLoads();
  void RecordImbalance();
  void SendAttempt(RequestState aState);
  std::size_t OwnerOf(std::uint64_t aFlow);
  std::vector<Candidate> CandidatesFor(std::uint64_t aFlow) const;
  Candidate MakeCandidate(std::size_t aHost) const;
  std::size_t IndexOf(HostId aHost) const;
  void Deliver(std::size_t aHost, RequestId aId);
  void ExecuteActions(std::size_t aHost, const Actions& aActions);
  void Execute(std::size_t aHost, const Action& aAction);
  void Dispatch(std::size_t aHost, RequestId aId);
  void OnRunEnd(std::size_t aHost, RequestId aId, RunResult aResult,
                Duration aDuration);
  void Conclude(std::size_t aHost, RequestId aId, RunResult aResult);
  void RetryOnOtherHost(std::size_t aHost, RequestId aId, AttemptEnd aEnd);
  void OnRefused(RequestId aId, RefusalReason aReason, Duration aRetryAfter);
  void ScheduleWakeUp(std::size_t aHost);
  bool IsNeverRepeated(const RequestState& aState) const;
  ClassTally& TallyFor(const RequestState& aState);
  Request MakeRequest(RequestId aId, const RequestState& aState) const;

  PlayerOptions mOptions;
  AdmissionOptions mAdmission;
  Time mStart;
  Time mNow;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mRequestsInProgress = 0;
  std::uint64_t mScheduledCount = 0;
  bool mPlatformUp = true;
  std::priority_queue<Event> mEvents;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::unique_ptr<OutlierDetector> mOutlier;
  std::unique_ptr<SlowStart> mSlowStart;
  RetryBudget mRetries;
  RetryTimePlanner mPlatformReturns;
  Time mLoadsExchangedAt;
  std::map<RequestId, RequestState> mRequests;
  std::map<std::uint64_t, std::size_t> mOwners;
  Tally mTally;
};

} // namespace heatherplank::replay
