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

/** Odds of faults, each in percent. */
struct WorldFaults
{
  int mLostCall = 3;
  int mLostAnswer = 3;
  int mLateWrite = 3;
  int mUnavailable = 3;
  int mLostMessage = 10;
  int mOutage = 30;
  int mCrash = 25;
  int mPause = 35;
  int mLostSight = 5;
  int mServerRefuses = 5;
  /** Worlds in which shards have homes. */
  int mHomes = 50;
};

/** Three agents, a platform and callers on a simulated clock, played by seed:
 * the driver of RunOnce, with every fault that the brief names. */
class RunOnceWorld
{
public:
  RunOnceWorld(std::uint64_t aSeed, const RunOnceOptions& aOptions,
               const WorldFaults& aFaults);

  /** Plays it to the end. */
  void Run();

  int mRunTwice = 0;
  int mFalseNotRun = 0;
  int mLateDispatch = 0;
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
    /** Frozen: what comes meanwhile is handled on waking, in order. */
    bool mPaused = false;
    std::vector<std::function<void()>> mHeld;
  };
  struct Asked
  {
    std::string mKey;
    int mAgent = 0;
    Incarnation mIncarnation = 0;
    Time mAt{};
    Time mDeadline{};
    bool mAnswered = false;
    bool mRan = false;
    bool mSaidNotRun = false;
  };
  struct Event
  {
    Time mAt;
    std::uint64_t mOrder;
    std::function<void()> mWhat;
    bool operator>(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  bool Chance(int aPercent) { return Below(100) < aPercent; }
  int Below(int aLimit) { return static_cast<int>(mRandom() % aLimit); }
  void After(int aMilliseconds, std::function<void()> aWhat);
  /** At an agent, if that incarnation still lives; held while it is paused. */
  void AtAgent(int aMilliseconds, int aAgent,
               std::function<void(RunOnce&)> aWhat);
  void Start(int aAgent, Duration aAge);
  void Crash(int aAgent);
  void Pause(int aAgent, int aMilliseconds);
  void Tick(int aAgent);
  void Ask(const std::string& aKey, int aAgent);
  void Act(int aAgent);
  void Do(int aAgent, const StoreCall& aCall);
  void Do(int aAgent, const Granted& aGranted);
  void Do(int aAgent, const Duplicate& aDuplicate);
  void Do(int aAgent, const NotRun& aNotRun);
  void Do(int aAgent, const Unknown& aUnknown);
  void Do(int aAgent, const AskHolder& aAsk);
  void Do(int aAgent, const AskPeers& aAsk);
  void Do(int aAgent, const AskHome& aAsk);
  void Do(int aAgent, const TellAgent& aTell);
  /** Hands a message to an agent, or loses, delays or doubles it. */
  void Carry(HostId aTo, const std::function<void(RunOnce&)>& aWhat);
  void Dispatch(RunOnce& aRunOnce, int aAgent, const Granted& aGranted);
  Result<Object> Read(const std::string& aName) const;
  Result<std::uint64_t> Write(const StoreCall& aCall);
  void Answer(int aAgent, const StoreCall& aCall, int aDelay, bool aLost,
              const Result<Object>& aRead,
              const Result<std::uint64_t>& aWritten);
  void Close(Asked& aAsked);
  void Judge();

  std::mt19937_64 mRandom;
  RunOnceOptions mOptions;
  WorldFaults mFaults;
  Time mNow = Time{} + std::chrono::hours(1);
  Time mEnd = mNow + std::chrono::milliseconds(2500);
  std::uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<Agent> mAgents{ 3 };
  std::map<RequestToken, Asked> mAsked;
  std::map<std::string, std::vector<Time>> mRuns;
  std::map<std::string, Object> mObjects;
  std::uint64_t mVersion = 0;
  bool mOutage = false;
  bool mHomes = false;
};

} // namespace heatherplank
