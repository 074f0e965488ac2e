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

/** What callers do when they are refused. */
enum class Returning : std::uint8_t
{
  /** They give up. */
  Never,
  /** They come back when they were told to. */
  AsTold,
  /** They come back after 50 ms, whatever they were told. */
  AtOnce,
};

/** Whom a player drives. */
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
  /** Its answers take this many times as long. */
  double mSlowness = 1.0;
  /** It answers with an error, after a millisecond. */
  bool mFails = false;
  /** It sheds all, after a millisecond. */
  bool mSheds = false;
  /** It can't be reached. */
  bool mDown = false;
};

/** A request as its caller sends it. */
struct Arrival
{
  std::uint16_t mClass = 0;
  /** Counted apart under "CLASS/GROUP" if there is one. */
  std::string mGroup;
  std::uint64_t mCaller = 0;
  /** The flow; callers may have several. */
  std::uint64_t mFlow = 0;
  std::uint32_t mSize = 0;
  /** What it takes on a host that is well. */
  Duration mTakes{};
  /** From its arrival; zero for the class's own. */
  Duration mDeadline{};
};

/** Plays events into the decision code of a few hosts on a paused clock.
 *
 * It is a driver as docs/DECISIONS.md describes one, with the least of a fleet
 * around it: flows go to one of four candidates by the balancing policy, with
 * figures exchanged every 100 ms; backend servers are a service time and a
 * Behaviour. Everything is seeded: the same options and events give the same
 * tally. Not thread safe.
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

  /** Has aWhat happen at a time since the beginning. Precondition: not in the
   * past. */
  void At(Duration aTime, std::function<void()> aWhat);

  /** A request comes now. */
  void Arrive(const Arrival& aArrival);

  /** Changes what a host's backend server does from now on. */
  void Behave(std::size_t aHost, const Behaviour& aBehaviour);
  /** The host starts anew: its answers are five times slower and become
   * normal within some thirty of them. */
  void ColdStart(std::size_t aHost);
  void Drain(std::size_t aHost);
  void SetSlots(std::size_t aHost, std::uint32_t aSlots);
  /** What the host's health endpoint says. */
  void Hint(std::size_t aHost, bool aHealthy);
  /** While it is down, what may not be repeated can't be recorded. */
  void SetPlatform(bool aUp);
  /** Forgets what was counted; requests under way still count when they end.
   */
  void ResetTally();

  /** Plays all events up to a time since the beginning. */
  void RunUntil(Duration aTime);
  /** Plays until nothing is under way. */
  void RunToEnd();

  std::size_t Hosts() const { return mHosts.size(); }
  /** Where the clock stands, since the beginning. */
  Duration Now() const { return mNow - mStart; }
  const Tally& GetTally() const { return mTally; }

private:
  // A request from its sending until its caller knows the outcome.
  struct Ongoing
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
    HostLoad mFigures;
    bool mWasOut = false;
    bool mIsDraining = false;
    bool mIsCold = false;
    std::uint32_t mAnswersSinceStart = 0;
    std::optional<Time> mWakeAt;
    // Slot time since NoteImbalance last looked.
    Duration mBusy{};

    // How many times as long as on a host that is well.
    double Slowness() const;
  };

  struct Event
  {
    Time mAt;
    std::uint64_t mSequence;
    std::function<void()> mWhat;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };

  explicit Player(const PlayerOptions& aOptions);

  std::optional<Error> AddHost(const std::string& aName);
  std::optional<Error> AddGuards();
  void After(Duration aWait, std::function<void()> aWhat);
  void Step();
  void Exchange();
  void NoteImbalance();
  void Attempt(Ongoing aOngoing);
  std::size_t OwnerOf(std::uint64_t aFlow);
  std::vector<Candidate> CandidatesOf(std::uint64_t aFlow) const;
  Candidate CandidateFor(std::size_t aHost) const;
  std::size_t IndexOf(HostId aHost) const;
  void Deliver(std::size_t aHost, RequestId aId);
  void Carry(std::size_t aHost, const Actions& aActions);
  void CarryOne(std::size_t aHost, const Action& aAction);
  void Dispatch(std::size_t aHost, RequestId aId);
  void End(std::size_t aHost, RequestId aId, RunResult aResult, Duration aTook);
  void Conclude(std::size_t aHost, RequestId aId, RunResult aResult);
  void TryElsewhere(std::size_t aHost, RequestId aId, AttemptEnd aEnd);
  void Refused(RequestId aId, RefusalReason aReason, Duration aRetryAfter);
  void WakeLater(std::size_t aHost);
  bool NeverRepeats(const Ongoing& aOngoing) const;
  ClassTally& TallyOf(const Ongoing& aOngoing);
  Request RequestOf(RequestId aId, const Ongoing& aOngoing) const;

  PlayerOptions mOptions;
  AdmissionOptions mAdmission;
  Time mStart;
  Time mNow;
  std::uint64_t mLast = 0;
  std::uint64_t mUnderWay = 0;
  std::uint64_t mPlanned = 0;
  bool mPlatformUp = true;
  std::priority_queue<Event> mEvents;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::unique_ptr<OutlierDetector> mOutlier;
  std::unique_ptr<SlowStart> mSlowStart;
  RetryBudget mRetries;
  RetryTimePlanner mPlatformReturns;
  Time mExchangedAt;
  std::map<RequestId, Ongoing> mOngoing;
  std::map<std::uint64_t, std::size_t> mOwners;
  Tally mTally;
};

} // namespace heatherplank::replay
