#include "tests/AdmissionDriver.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::test;

namespace {

enum class RequestState : std::uint8_t
{
  Queued,
  Running,
  Ended,
};

// Feeds random events and tracks the state of each request independently.
class RandomDriver
{
public:
  RandomDriver(std::string_view aName, std::uint64_t aSeed)
    : mHost(ThreeClasses(), aName)
    , mRng(aSeed)
  {
  }

  void Step()
  {
    mHost.mNow += std::chrono::microseconds(mRng() % 20000);
    switch (mRng() % 12) {
      case 0:
        Cancel();
        break;
      case 1:
        mHost.Advance(0ms);
        break;
      case 2:
        mHost.ReportOneIdlePeer();
        break;
      case 3:
        SetSlots();
        break;
      case 4:
      case 5:
      case 6:
        FinishOne();
        break;
      default:
        SendRandom();
    }
    CheckActions();
  }

  void Drain()
  {
    mHost.mActions.clear();
    mHost.mPolicy->OnDrain(mHost.mNow, mHost.mActions);
    CheckActions();
    while (!mRunning.empty()) {
      FinishOne();
      CheckActions();
    }
  }

  std::size_t Count(RequestState aState) const
  {
    return static_cast<std::size_t>(std::ranges::count(
      mStates, aState, [](const auto& aIt) { return aIt.second; }));
  }

private:
  void SendRandom()
  {
    Request request;
    request.mId = ++mHost.mLast;
    request.mClass = static_cast<std::uint16_t>(mRng() % 4);
    request.mCaller = mRng() % 5;
    request.mHops = static_cast<std::uint16_t>(mRng() % 2);
    request.mArrival = mHost.mNow;
    request.mDeadline = mHost.mNow + std::chrono::milliseconds(mRng() % 3000);
    mStates[request.mId] = RequestState::Queued;
    mHost.Send(request);
  }

  void FinishOne()
  {
    if (mRunning.empty()) {
      mHost.Advance(0ms);
      return;
    }
    const RequestId id = mRunning[mRng() % mRunning.size()];
    std::erase(mRunning, id);
    mStates[id] = RequestState::Ended;
    const auto result = static_cast<RunResult>(mRng() % 6);
    mHost.Done(id, std::chrono::milliseconds(mRng() % 200), result);
  }

  void Cancel()
  {
    mHost.mActions.clear();
    const RequestId id = mHost.mLast - mRng() % 20;
    if (mHost.mPolicy->OnCancel(id, mHost.mNow, mHost.mActions)) {
      CHECK_TRUE(mStates.at(id) == RequestState::Queued);
      mStates[id] = RequestState::Ended;
    }
  }

  void SetSlots()
  {
    mHost.mActions.clear();
    mSlots = static_cast<std::uint32_t>(mRng() % 4);
    mHost.mPolicy->OnSlots(mSlots, mHost.mNow, mHost.mActions);
  }

  void CheckActions()
  {
    for (const auto& it : mHost.mActions) {
      CHECK_TRUE(mStates.at(it.mId) == RequestState::Queued);
      const bool runs = it.mKind == ActionKind::Dispatch;
      mStates[it.mId] = runs ? RequestState::Running : RequestState::Ended;
      if (runs) {
        mRunning.push_back(it.mId);
        CHECK_TRUE(mRunning.size() <= mSlots);
      }
      const bool hasRetryTime = it.mRetryAfter > Duration{};
      const bool isRefusal =
        it.mKind == ActionKind::Refuse || it.mKind == ActionKind::Expire;
      CHECK_EQUAL(isRefusal, hasRetryTime);
    }
    mHost.mActions.clear();
    CHECK_EQUAL(Count(RequestState::Queued), mHost.mPolicy->Load().mQueued);
    CHECK_EQUAL(mRunning.size(), mHost.mPolicy->Load().mBusy);
    const auto next = mHost.mPolicy->NextWakeUp();
    CHECK_TRUE(!next || *next > mHost.mNow);
  }

  AdmissionDriver mHost;
  std::mt19937_64 mRng;
  std::uint32_t mSlots = 2;
  std::map<RequestId, RequestState> mStates;
  std::vector<RequestId> mRunning;
};

} // namespace

TEST_GROUP(AdmissionInvariant){};

// For random events in random order: no request is answered twice, run twice or
// lost, no slot is used twice, and every refusal has a retry time.
TEST(AdmissionInvariant, EachRequestEndsOnceAndSlotsAreNotExceeded)
{
  for (auto name : { "reservation", "priority", "fifo" }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      RandomDriver driver(name, seed);
      for (int i = 0; i < 500; ++i) {
        driver.Step();
      }
      driver.Drain();
      CHECK_EQUAL(0, driver.Count(RequestState::Queued));
      CHECK_EQUAL(0, driver.Count(RequestState::Running));
    }
  }
}
