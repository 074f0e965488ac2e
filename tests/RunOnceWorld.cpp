#include "tests/RunOnceWorld.h"

#include <algorithm>
#include <memory>
#include <tuple>

namespace heatherplank {

using std::chrono::milliseconds;

namespace {

/** How long a driver waits for the platform. */
constexpr int kCallTimeoutMs = 120;

HostId HostOf(int aAgent)
{
  return { static_cast<std::uint64_t>(aAgent + 1) };
}

} // namespace

RunOnceWorld::RunOnceWorld(std::uint64_t aSeed, const RunOnceOptions& aOptions,
                           const WorldFaults& aFaults)
  : mRandom(aSeed)
  , mOptions(aOptions)
  , mFaults(aFaults)
  , mHomes(Chance(aFaults.mHomes))
{
}

void RunOnceWorld::Run()
{
  for (int i = 0; i < 3; ++i) {
    Start(i, std::chrono::hours(1));
    Tick(i);
    if (Chance(mFaults.mCrash)) {
      After(Below(1000), [this, i] { Crash(i); });
    }
    if (Chance(mFaults.mPause)) {
      After(Below(1000), [this, i] { Pause(i, 100 + Below(1000)); });
    }
  }
  for (int key = 0; key < 2; ++key) {
    int start = Below(600);
    bool together = Chance(50);
    for (int n = 1 + Below(4); n > 0; --n) {
      int at = together ? start + Below(10) : start + Below(900);
      After(at, [this, key] { Ask("key-" + std::to_string(key), Below(3)); });
    }
  }
  if (Chance(mFaults.mOutage)) {
    int at = Below(800);
    After(at, [this] { mOutage = true; });
    After(at + 50 + Below(600), [this] { mOutage = false; });
  }
  while (!mEvents.empty()) {
    Event next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mWhat();
  }
  Judge();
}

void RunOnceWorld::After(int aMilliseconds, std::function<void()> aWhat)
{
  mEvents.push(
    { mNow + milliseconds(aMilliseconds), mOrder++, std::move(aWhat) });
}

void RunOnceWorld::AtAgent(int aMilliseconds, int aAgent,
                           std::function<void(RunOnce&)> aWhat)
{
  Incarnation incarnation = mAgents[aAgent].mIncarnation;
  After(aMilliseconds, [this, aAgent, incarnation, what = std::move(aWhat)] {
    Agent& agent = mAgents[aAgent];
    auto run = [this, aAgent, incarnation, what] {
      if (mAgents[aAgent].mIncarnation == incarnation) {
        what(*mAgents[aAgent].mRunOnce);
        Act(aAgent);
      }
    };
    if (agent.mPaused) {
      agent.mHeld.emplace_back(run);
    } else {
      run();
    }
  });
}

void RunOnceWorld::Start(int aAgent, Duration aAge)
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

void RunOnceWorld::Crash(int aAgent)
{
  mAgents[aAgent].mHeld.clear();
  mAgents[aAgent].mPaused = false;
  Start(aAgent, Duration{});
}

void RunOnceWorld::Pause(int aAgent, int aMilliseconds)
{
  mAgents[aAgent].mPaused = true;
  After(aMilliseconds, [this, aAgent] {
    Agent& agent = mAgents[aAgent];
    agent.mPaused = false;
    for (auto& it : std::exchange(agent.mHeld, {})) {
      it();
    }
  });
}

void RunOnceWorld::Tick(int aAgent)
{
  if (!mAgents[aAgent].mPaused) {
    mAgents[aAgent].mRunOnce->OnTick(mNow);
    Act(aAgent);
  }
  if (mNow < mEnd) {
    After(10, [this, aAgent] { Tick(aAgent); });
  }
}

void RunOnceWorld::Ask(const std::string& aKey, int aAgent)
{
  RequestToken token = mAsked.size() + 1;
  Time deadline = mNow + milliseconds(150 + Below(600));
  mAsked[token] = { aKey, aAgent, mAgents[aAgent].mIncarnation, mNow,
                    deadline };
  AtAgent(0, aAgent, [this, token, aKey, deadline](RunOnce& aRunOnce) {
    aRunOnce.Request(token, aKey, deadline, mNow);
  });
}

void RunOnceWorld::Act(int aAgent)
{
  for (const RunOnceAction& it : mAgents[aAgent].mRunOnce->TakeActions()) {
    std::visit([&](const auto& aAction) { Do(aAgent, aAction); }, it);
  }
  for (const HomeMessage& it : mAgents[aAgent].mRunOnce->TakeHomeMessages()) {
    std::visit([&](const auto& aMessage) { Do(aAgent, aMessage); }, it);
  }
}

Result<Object> RunOnceWorld::Read(const std::string& aName) const
{
  auto it = mObjects.find(aName);
  if (it == mObjects.end()) {
    return Fail(ErrorKind::NotFound, "", "");
  }
  return it->second;
}

Result<std::uint64_t> RunOnceWorld::Write(const StoreCall& aCall)
{
  auto it = mObjects.find(aCall.mObject);
  std::uint64_t held = it == mObjects.end() ? 0 : it->second.mVersion;
  bool always = aCall.mCondition.mKind == WriteCondition::Kind::Always;
  if (!always && held != aCall.mCondition.mVersion) {
    return Fail(ErrorKind::Conflict, "", "");
  }
  mObjects[aCall.mObject] = { aCall.mObject, aCall.mValue, ++mVersion };
  return mVersion;
}

void RunOnceWorld::Do(int aAgent, const StoreCall& aCall)
{
  int there = 1 + Below(4);
  if (mOutage ? Chance(50) : Chance(mFaults.mUnavailable)) {
    Answer(aAgent, aCall, there, false, Fail(ErrorKind::Unavailable, "", ""),
           Fail(ErrorKind::Unavailable, "", ""));
    return;
  }
  bool lostCall = mOutage || Chance(mFaults.mLostCall);
  bool lostAnswer = Chance(mFaults.mLostAnswer);
  if (lostCall || lostAnswer) {
    Answer(aAgent, aCall, kCallTimeoutMs, true, {}, 0);
  }
  if (lostCall) {
    return;
  }
  // A write may land long after its sender stopped waiting for the answer.
  bool late = lostAnswer && Chance(50) && mFaults.mLateWrite > 0;
  After(late ? 100 + Below(300) : there, [this, aAgent, aCall, lostAnswer] {
    Result<Object> read = Read(aCall.mObject);
    Result<std::uint64_t> written = 0;
    if (aCall.mIsWrite) {
      written = Write(aCall);
    }
    if (!lostAnswer) {
      Answer(aAgent, aCall, 1 + Below(4), false, read, written);
    }
  });
}

void RunOnceWorld::Answer(int aAgent, const StoreCall& aCall, int aDelay,
                          bool aLost, const Result<Object>& aRead,
                          const Result<std::uint64_t>& aWritten)
{
  Result<Object> read = aRead;
  Result<std::uint64_t> written = aWritten;
  if (aLost) {
    read = Fail(ErrorKind::Timeout, "", "");
    written = Fail(ErrorKind::Timeout, "", "");
  }
  AtAgent(aDelay, aAgent,
          [this, ticket = aCall.mTicket, isWrite = aCall.mIsWrite, read,
           written](RunOnce& aRunOnce) {
            if (isWrite) {
              aRunOnce.OnPut(ticket, written, mNow);
            } else {
              aRunOnce.OnGet(ticket, read, mNow);
            }
          });
}

void RunOnceWorld::Do(int aAgent, const Granted& aGranted)
{
  ++mGranted;
  AtAgent(Below(8), aAgent, [this, aAgent, aGranted](RunOnce& aRunOnce) {
    Dispatch(aRunOnce, aAgent, aGranted);
  });
}

void RunOnceWorld::Dispatch(RunOnce& aRunOnce, int aAgent,
                            const Granted& aGranted)
{
  const std::string& key = aGranted.mKey;
  Nonce nonce = aGranted.mNonce;
  if (!aRunOnce.MayDispatch(key, nonce, mNow)) {
    return;
  }
  Asked& asked = mAsked[aGranted.mRequest];
  Close(asked);
  if (Chance(mFaults.mServerRefuses)) {
    AtAgent(5, aAgent, [this, key, nonce](RunOnce& aAgain) {
      aAgain.RefusedByServer(key, nonce, mNow);
    });
    return;
  }
  mRuns[key].push_back(mNow);
  asked.mRan = true;
  mLateDispatch += mNow >= asked.mDeadline ? 1 : 0;
  bool lost = Chance(mFaults.mLostSight);
  AtAgent(5 + Below(150), aAgent, [this, key, nonce, lost](RunOnce& aAgain) {
    if (lost) {
      aAgain.LostSight(key, nonce, mNow);
    } else {
      aAgain.Answered(key, nonce, "answer of " + key, mNow);
    }
  });
}

void RunOnceWorld::Close(Asked& aAsked)
{
  // A second answer to one request would count as unanswered just the same.
  mUnanswered += aAsked.mAnswered ? 1 : 0;
  aAsked.mAnswered = true;
}

void RunOnceWorld::Do(int, const Duplicate& aDuplicate)
{
  Asked& asked = mAsked[aDuplicate.mRequest];
  Close(asked);
  ++mDuplicates;
  bool right = aDuplicate.mAnswer == "answer of " + asked.mKey;
  mUnanswered += right ? 0 : 1;
}

void RunOnceWorld::Do(int, const NotRun& aNotRun)
{
  Asked& asked = mAsked[aNotRun.mRequest];
  Close(asked);
  ++mNotRun;
  asked.mSaidNotRun = true;
  // The key had run already when this request of it came.
  const std::vector<Time>& runs = mRuns[asked.mKey];
  bool before = !runs.empty() && runs.front() < asked.mAt;
  mFalseNotRun += before ? 1 : 0;
}

void RunOnceWorld::Do(int, const Unknown& aUnknown)
{
  Close(mAsked[aUnknown.mRequest]);
  ++mUnknown;
}

void RunOnceWorld::Do(int aAgent, const AskHolder& aAsk)
{
  int holder = static_cast<int>(aAsk.mGrant.mHost.mValue) - 1;
  if (Chance(mFaults.mLostMessage)) {
    return;
  }
  Incarnation asker = mAgents[aAgent].mIncarnation;
  AtAgent(1, holder, [this, aAgent, asker, aAsk](RunOnce& aHolder) {
    KeyReply reply = aHolder.OnQuestion(aAsk.mKey, aAsk.mGrant.mNonce,
                                        aAsk.mGrant.mIncarnation, mNow);
    if (mAgents[aAgent].mIncarnation != asker) {
      return;
    }
    AtAgent(1, aAgent, [this, aAsk, reply](RunOnce& aAsker) {
      aAsker.OnReply(aAsk.mKey, reply, mNow);
    });
  });
}

void RunOnceWorld::Do(int aAgent, const AskPeers& aAsk)
{
  KeyReply gravest;
  bool all = true;
  for (int i = 0; i < 3; ++i) {
    if (i == aAgent) {
      continue;
    }
    bool silent = mAgents[i].mPaused || Chance(mFaults.mLostMessage);
    all = all && !silent;
    if (!silent) {
      KeyReply reply = mAgents[i].mRunOnce->OnQuestion(aAsk.mKey, 0, 0, mNow);
      bool graver = reply.mKnowledge > gravest.mKnowledge;
      gravest = graver ? reply : gravest;
    }
  }
  AtAgent(3, aAgent, [this, aAsk, gravest, all](RunOnce& aAsker) {
    aAsker.OnPeers(aAsk.mKey, gravest, all, mNow);
  });
}

void RunOnceWorld::Carry(HostId aTo, const std::function<void(RunOnce&)>& aWhat)
{
  int to = static_cast<int>(aTo.mValue) - 1;
  for (int copies = Chance(5) ? 2 : 1; copies > 0; --copies) {
    if (!Chance(mFaults.mLostMessage)) {
      AtAgent(Chance(10) ? Below(400) : 1, to, aWhat);
    }
  }
}

void RunOnceWorld::Do(int, const AskHome& aAsk)
{
  Carry(aAsk.mHome,
        [this, aAsk](RunOnce& aHome) { aHome.OnWishes(aAsk.mWishes, mNow); });
}

void RunOnceWorld::Do(int, const TellAgent& aTell)
{
  Carry(aTell.mAgent, [this, aTell](RunOnce& aAgent) {
    aAgent.OnOutcomes(aTell.mOutcomes, aTell.mRetryAfter, mNow);
  });
}

void RunOnceWorld::Judge()
{
  for (const auto& [key, runs] : mRuns) {
    mRunTwice += runs.size() > 1 ? 1 : 0;
  }
  for (const auto& [token, asked] : mAsked) {
    bool lived = mAgents[asked.mAgent].mIncarnation == asked.mIncarnation;
    mUnanswered += lived && !asked.mAnswered ? 1 : 0;
    mFalseNotRun += asked.mRan && asked.mSaidNotRun ? 1 : 0;
  }
}

} // namespace heatherplank
