#include "tests/RunOnceSimulation.h"

#include <algorithm>
#include <memory>
#include <tuple>

namespace heatherplank {

using std::chrono::milliseconds;

namespace {

/** Timeout of a platform call. */
constexpr int kCallTimeoutMs = 120;

HostId HostOf(int aAgent)
{
  return { static_cast<std::uint64_t>(aAgent + 1) };
}

} // namespace

RunOnceSimulation::RunOnceSimulation(std::uint64_t aSeed,
                                     const RunOnceOptions& aOptions,
                                     const SimulationFaults& aFaults)
  : mRandom(aSeed)
  , mOptions(aOptions)
  , mFaults(aFaults)
  , mHomes(Chance(aFaults.mHomes))
{
}

void RunOnceSimulation::Run()
{
  for (int i = 0; i < 3; ++i) {
    Start(i, std::chrono::hours(1));
    Tick(i);
    if (Chance(mFaults.mCrash)) {
      Schedule(RandomBelow(1000), [this, i] { Crash(i); });
    }
    if (Chance(mFaults.mPause)) {
      Schedule(RandomBelow(1000),
               [this, i] { Pause(i, 100 + RandomBelow(1000)); });
    }
  }
  for (int key = 0; key < 2; ++key) {
    int start = RandomBelow(600);
    bool together = Chance(50);
    for (int n = 1 + RandomBelow(4); n > 0; --n) {
      int at = together ? start + RandomBelow(10) : start + RandomBelow(900);
      Schedule(at, [this, key] {
        SendRequest("key-" + std::to_string(key), RandomBelow(3));
      });
    }
  }
  if (Chance(mFaults.mOutage)) {
    int at = RandomBelow(800);
    Schedule(at, [this] { mOutage = true; });
    Schedule(at + 50 + RandomBelow(600), [this] { mOutage = false; });
  }
  while (!mEvents.empty()) {
    Event next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mAction();
  }
  CountViolations();
}

void RunOnceSimulation::Schedule(int aMilliseconds,
                                 std::function<void()> aAction)
{
  mEvents.push(
    { mNow + milliseconds(aMilliseconds), mOrder++, std::move(aAction) });
}

void RunOnceSimulation::ScheduleAtAgent(int aMilliseconds, int aAgent,
                                        std::function<void(RunOnce&)> aAction)
{
  Incarnation incarnation = mAgents[aAgent].mIncarnation;
  Schedule(aMilliseconds,
           [this, aAgent, incarnation, action = std::move(aAction)] {
             Agent& agent = mAgents[aAgent];
             auto run = [this, aAgent, incarnation, action] {
               if (mAgents[aAgent].mIncarnation == incarnation) {
                 action(*mAgents[aAgent].mRunOnce);
                 PerformActions(aAgent);
               }
             };
             if (agent.mPaused) {
               agent.mDeferred.emplace_back(run);
             } else {
               run();
             }
           });
}

void RunOnceSimulation::Start(int aAgent, Duration aAge)
{
  Agent& agent = mAgents[aAgent];
  ++agent.mIncarnation;
  agent.mRunOnce = std::make_unique<RunOnce>(HostOf(aAgent), agent.mIncarnation,
                                             mOptions, mRandom(), mNow - aAge);
  if (mHomes) {
    std::vector<HostId> homes{ HostOf(0), HostOf(1), HostOf(2) };
    agent.mRunOnce->SetHomes(homes);
  }
}

void RunOnceSimulation::Crash(int aAgent)
{
  mAgents[aAgent].mDeferred.clear();
  mAgents[aAgent].mPaused = false;
  Start(aAgent, Duration{});
}

void RunOnceSimulation::Pause(int aAgent, int aMilliseconds)
{
  mAgents[aAgent].mPaused = true;
  Schedule(aMilliseconds, [this, aAgent] {
    Agent& agent = mAgents[aAgent];
    agent.mPaused = false;
    for (auto& it : std::exchange(agent.mDeferred, {})) {
      it();
    }
  });
}

void RunOnceSimulation::Tick(int aAgent)
{
  if (!mAgents[aAgent].mPaused) {
    mAgents[aAgent].mRunOnce->OnTick(mNow);
    PerformActions(aAgent);
  }
  if (mNow < mEnd) {
    Schedule(10, [this, aAgent] { Tick(aAgent); });
  }
}

void RunOnceSimulation::SendRequest(const std::string& aKey, int aAgent)
{
  RequestToken token = mRequests.size() + 1;
  Time deadline = mNow + milliseconds(150 + RandomBelow(600));
  mRequests[token] = { aKey, aAgent, mAgents[aAgent].mIncarnation, mNow,
                       deadline };
  ScheduleAtAgent(0, aAgent, [this, token, aKey, deadline](RunOnce& aRunOnce) {
    aRunOnce.Request(token, aKey, deadline, mNow);
  });
}

void RunOnceSimulation::PerformActions(int aAgent)
{
  for (const RunOnceAction& it : mAgents[aAgent].mRunOnce->TakeActions()) {
    std::visit([&](const auto& aAction) { Perform(aAgent, aAction); }, it);
  }
  for (const HomeMessage& it : mAgents[aAgent].mRunOnce->TakeHomeMessages()) {
    std::visit([&](const auto& aMessage) { Perform(aAgent, aMessage); }, it);
  }
}

Result<Object> RunOnceSimulation::Read(const std::string& aName) const
{
  auto it = mObjects.find(aName);
  if (it == mObjects.end()) {
    return Fail(ErrorKind::NotFound, "", "");
  }
  return it->second;
}

Result<StoreVersion> RunOnceSimulation::Write(const StoreCall& aCall)
{
  auto it = mObjects.find(aCall.mObject);
  StoreVersion storedVersion =
    it == mObjects.end() ? StoreVersion() : it->second.mVersion;
  bool always = aCall.mCondition.mKind == WriteCondition::Kind::Always;
  if (!always && storedVersion != aCall.mCondition.mVersion) {
    return Fail(ErrorKind::Conflict, "", "");
  }
  mObjects[aCall.mObject] = { aCall.mObject, aCall.mValue, { ++mVersion } };
  return StoreVersion{ mVersion };
}

void RunOnceSimulation::Perform(int aAgent, const StoreCall& aCall)
{
  int latency = 1 + RandomBelow(4);
  if (mOutage ? Chance(50) : Chance(mFaults.mUnavailable)) {
    CompleteCall(aAgent, aCall, latency, false,
                 Fail(ErrorKind::Unavailable, "", ""),
                 Fail(ErrorKind::Unavailable, "", ""));
    return;
  }
  bool lostCall = mOutage || Chance(mFaults.mLostCall);
  bool lostAnswer = Chance(mFaults.mLostAnswer);
  if (lostCall || lostAnswer) {
    CompleteCall(aAgent, aCall, kCallTimeoutMs, true, {}, {});
  }
  if (lostCall) {
    return;
  }
  // A write may be committed long after its sender stopped waiting for it.
  bool late = lostAnswer && Chance(50) && mFaults.mLateWrite > 0;
  Schedule(
    late ? 100 + RandomBelow(300) : latency, [this, aAgent, aCall, lostAnswer] {
      Result<Object> read = Read(aCall.mObject);
      Result<StoreVersion> written;
      if (aCall.mIsWrite) {
        written = Write(aCall);
      }
      if (!lostAnswer) {
        CompleteCall(aAgent, aCall, 1 + RandomBelow(4), false, read, written);
      }
    });
}

void RunOnceSimulation::CompleteCall(int aAgent, const StoreCall& aCall,
                                     int aDelay, bool aLost,
                                     const Result<Object>& aRead,
                                     const Result<StoreVersion>& aWritten)
{
  Result<Object> read = aRead;
  Result<StoreVersion> written = aWritten;
  if (aLost) {
    read = Fail(ErrorKind::Timeout, "", "");
    written = Fail(ErrorKind::Timeout, "", "");
  }
  ScheduleAtAgent(aDelay, aAgent,
                  [this, ticket = aCall.mTicket, isWrite = aCall.mIsWrite, read,
                   written](RunOnce& aRunOnce) {
                    if (isWrite) {
                      aRunOnce.OnPut(ticket, written, mNow);
                    } else {
                      aRunOnce.OnGet(ticket, read, mNow);
                    }
                  });
}

void RunOnceSimulation::Perform(int aAgent, const Granted& aGranted)
{
  ++mGranted;
  ScheduleAtAgent(RandomBelow(8), aAgent,
                  [this, aAgent, aGranted](RunOnce& aRunOnce) {
                    Dispatch(aRunOnce, aAgent, aGranted);
                  });
}

void RunOnceSimulation::Dispatch(RunOnce& aRunOnce, int aAgent,
                                 const Granted& aGranted)
{
  const std::string& key = aGranted.mKey;
  Nonce nonce = aGranted.mNonce;
  if (!aRunOnce.MayDispatch(key, nonce, mNow)) {
    return;
  }
  RequestState& request = mRequests[aGranted.mRequest];
  CompleteRequest(request);
  if (Chance(mFaults.mServerRefuses)) {
    ScheduleAtAgent(5, aAgent, [this, key, nonce](RunOnce& aTarget) {
      aTarget.OnRefusedByServer(key, nonce, mNow);
    });
    return;
  }
  mRuns[key].push_back(mNow);
  request.mRan = true;
  mLateDispatch += mNow >= request.mDeadline ? 1 : 0;
  bool lost = Chance(mFaults.mLostOutcome);
  ScheduleAtAgent(5 + RandomBelow(150), aAgent,
                  [this, key, nonce, lost](RunOnce& aTarget) {
                    if (lost) {
                      aTarget.OnOutcomeUnknown(key, nonce, mNow);
                    } else {
                      aTarget.OnAnswered(key, nonce, "answer of " + key, mNow);
                    }
                  });
}

void RunOnceSimulation::CompleteRequest(RequestState& aRequest)
{
  // A second answer to a request counts as a violation, like a missing answer.
  mUnanswered += aRequest.mAnswered ? 1 : 0;
  aRequest.mAnswered = true;
}

void RunOnceSimulation::Perform(int, const Duplicate& aDuplicate)
{
  RequestState& request = mRequests[aDuplicate.mRequest];
  CompleteRequest(request);
  ++mDuplicates;
  bool isCorrect = aDuplicate.mAnswer == "answer of " + request.mKey;
  mUnanswered += isCorrect ? 0 : 1;
}

void RunOnceSimulation::Perform(int, const NotRun& aNotRun)
{
  RequestState& request = mRequests[aNotRun.mRequest];
  CompleteRequest(request);
  ++mNotRun;
  request.mAnsweredNotRun = true;
  // NotRun is false if the key ran before this request arrived.
  const std::vector<Time>& runs = mRuns[request.mKey];
  bool hadRun = !runs.empty() && runs.front() < request.mAt;
  mFalseNotRun += hadRun ? 1 : 0;
}

void RunOnceSimulation::Perform(int, const Unknown& aUnknown)
{
  CompleteRequest(mRequests[aUnknown.mRequest]);
  ++mUnknown;
}

void RunOnceSimulation::Perform(int aAgent, const HolderQuery& aAsk)
{
  int holder = static_cast<int>(aAsk.mGrant.mHost.mValue) - 1;
  if (Chance(mFaults.mLostMessage)) {
    return;
  }
  Incarnation askerIncarnation = mAgents[aAgent].mIncarnation;
  ScheduleAtAgent(
    1, holder, [this, aAgent, askerIncarnation, aAsk](RunOnce& aHolder) {
      KeyReply reply = aHolder.OnKeyQuery(aAsk.mKey, aAsk.mGrant.mNonce,
                                          aAsk.mGrant.mIncarnation, mNow);
      if (mAgents[aAgent].mIncarnation != askerIncarnation) {
        return;
      }
      ScheduleAtAgent(1, aAgent, [this, aAsk, reply](RunOnce& aAsker) {
        aAsker.OnHolderReply(aAsk.mKey, reply, mNow);
      });
    });
}

void RunOnceSimulation::Perform(int aAgent, const PeerQuery& aAsk)
{
  KeyReply combined;
  bool allReplied = true;
  for (int i = 0; i < 3; ++i) {
    if (i == aAgent) {
      continue;
    }
    bool unresponsive = mAgents[i].mPaused || Chance(mFaults.mLostMessage);
    allReplied = allReplied && !unresponsive;
    if (!unresponsive) {
      KeyReply reply = mAgents[i].mRunOnce->OnKeyQuery(aAsk.mKey, 0, 0, mNow);
      bool takesPrecedence = reply.mKnowledge > combined.mKnowledge;
      combined = takesPrecedence ? reply : combined;
    }
  }
  ScheduleAtAgent(3, aAgent,
                  [this, aAsk, combined, allReplied](RunOnce& aAsker) {
                    aAsker.OnPeerReplies(aAsk.mKey, combined, allReplied, mNow);
                  });
}

void RunOnceSimulation::Deliver(HostId aTo,
                                const std::function<void(RunOnce&)>& aAction)
{
  int to = static_cast<int>(aTo.mValue) - 1;
  for (int copies = Chance(5) ? 2 : 1; copies > 0; --copies) {
    if (!Chance(mFaults.mLostMessage)) {
      ScheduleAtAgent(Chance(10) ? RandomBelow(400) : 1, to, aAction);
    }
  }
}

void RunOnceSimulation::Perform(int, const SendToHome& aAsk)
{
  Deliver(aAsk.mHome, [this, aAsk](RunOnce& aHome) {
    aHome.OnPendingWrites(aAsk.mPendingWrites, mNow);
  });
}

void RunOnceSimulation::Perform(int, const ReplyToAgent& aTell)
{
  Deliver(aTell.mAgent, [this, aTell](RunOnce& aAgent) {
    aAgent.OnOutcomes(aTell.mOutcomes, aTell.mRetryAfter, mNow);
  });
}

void RunOnceSimulation::CountViolations()
{
  for (const auto& [key, runs] : mRuns) {
    mRunTwice += runs.size() > 1 ? 1 : 0;
  }
  for (const auto& [token, request] : mRequests) {
    bool isAlive = mAgents[request.mAgent].mIncarnation == request.mIncarnation;
    mUnanswered += isAlive && !request.mAnswered ? 1 : 0;
    mFalseNotRun += request.mRan && request.mAnsweredNotRun ? 1 : 0;
  }
}

} // namespace heatherplank
