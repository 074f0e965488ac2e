#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/record/RunOnce.h"

namespace heatherplank {

/** Probabilities of faults, in percent. */
struct SimulationFaults
{
  int mLostCall = 3;
  int mLostAnswer = 3;
  int mLateWrite = 3;
  int mUnavailable = 3;
  int mLostMessage = 10;
  int mOutage = 30;
  int mCrash = 25;
  int mPause = 35;
  int mLostOutcome = 5;
  int mServerRefuses = 5;
  /** Not a fault: percentage of runs that call SetHomes, so that one agent
   * writes a shard for all. */
  int mHomes = 50;
};

/** Drives RunOnce in a deterministic, seeded simulation of three agents, a
 * platform and callers on a simulated clock, and injects SimulationFaults. */
class RunOnceSimulation
{
public:
  RunOnceSimulation(std::uint64_t aSeed, const RunOnceOptions& aOptions,
                    const SimulationFaults& aFaults);

  /** Processes all events and sets the counters below. */
  void Run();

  /** Keys that ran more than once. */
  int mRunTwice = 0;
  int mFalseNotRun = 0;
  int mLateDispatch = 0;
  /** Requests without an answer, with a second one or with a wrong one. */
  int mUnanswered = 0;
  int mGranted = 0;
  int mDuplicates = 0;
  int mNotRun = 0;
  int mUnknown = 0;

private:
  struct Agent
  {
    std::unique_ptr<RunOnce> mRunOnce;
    Incarnation mIncarnation = 0;
    /** While paused, events are deferred; they run in order on resuming. */
    bool mPaused = false;
    std::vector<std::function<void()>> mDeferred;
  };
  struct RequestState
  {
    std::string mKey;
    int mAgent = 0;
    Incarnation mIncarnation = 0;
    Time mAt{};
    Time mDeadline{};
    bool mAnswered = false;
    bool mRan = false;
    bool mAnsweredNotRun = false;
  };
  struct Event
  {
    Time mAt;
    std::uint64_t mOrder;
    std::function<void()> mAction;
    bool operator>(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  bool Chance(int aPercent) { return RandomBelow(100) < aPercent; }
  int RandomBelow(int aLimit) { return static_cast<int>(mRandom() % aLimit); }
  void Schedule(int aMilliseconds, std::function<void()> aAction);
  /** Schedules an action at an agent's current incarnation. It is skipped if
   * the agent has restarted, and deferred while it is paused. */
  void ScheduleAtAgent(int aMilliseconds, int aAgent,
                       std::function<void(RunOnce&)> aAction);
  void Start(int aAgent, Duration aAge);
  void Crash(int aAgent);
  void Pause(int aAgent, int aMilliseconds);
  void Tick(int aAgent);
  void SendRequest(const std::string& aKey, int aAgent);
  void PerformActions(int aAgent);
  void Perform(int aAgent, const StoreCall& aCall);
  void Perform(int aAgent, const Granted& aGranted);
  void Perform(int aAgent, const Duplicate& aDuplicate);
  void Perform(int aAgent, const NotRun& aNotRun);
  void Perform(int aAgent, const Unknown& aUnknown);
  void Perform(int aAgent, const HolderQuery& aAsk);
  void Perform(int aAgent, const PeerQuery& aAsk);
  void Perform(int aAgent, const SendToHome& aAsk);
  void Perform(int aAgent, const ReplyToAgent& aTell);
  /** Delivers a message to an agent, or loses, delays or duplicates it. */
  void Deliver(HostId aTo, const std::function<void(RunOnce&)>& aAction);
  void Dispatch(RunOnce& aRunOnce, int aAgent, const Granted& aGranted);
  Result<Object> Read(const std::string& aName) const;
  Result<StoreVersion> Write(const StoreCall& aCall);
  void CompleteCall(int aAgent, const StoreCall& aCall, int aDelay, bool aLost,
                    const Result<Object>& aRead,
                    const Result<StoreVersion>& aWritten);
  void CompleteRequest(RequestState& aRequest);
  void CountViolations();

  std::mt19937_64 mRandom;
  RunOnceOptions mOptions;
  SimulationFaults mFaults;
  Time mNow = Time{} + std::chrono::hours(1);
  Time mEnd = mNow + std::chrono::milliseconds(2500);
  std::uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<Agent> mAgents{ 3 };
  std::map<RequestToken, RequestState> mRequests;
  std::map<std::string, std::vector<Time>> mRuns;
  std::map<std::string, Object> mObjects;
  std::uint64_t mVersion = 0;
  bool mOutage = false;
  bool mHomes = false;
};

} // namespace heatherplank
