#include "tests/AdmissionDriver.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::test;

namespace {

enum class Life : std::uint8_t
{
  Waits,
  Runs,
  Over,
};

// Feeds random events and keeps its own books of each request's life.
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
        mHost.OneIdlePeer();
        break;
      case 3:
        SetSlots();
        break;
      case 4:
      case 5:
      case 6:
        End();
        break;
      default:
        Arrive();
    }
    Book();
  }

  void Drain()
  {
    mHost.mActions.clear();
    mHost.mPolicy->OnDrain(mHost.mNow, mHost.mActions);
    Book();
    while (!mRunning.empty()) {
      End();
      Book();
    }
  }

  std::size_t Count(Life aLife) const
  {
    return static_cast<std::size_t>(std::ranges::count(
      mLives, aLife, [](const auto& aIt) { return aIt.second; }));
  }

private:
  void Arrive()
  {
    Request request;
    request.mId = ++mHost.mLast;
    request.mClass = static_cast<std::uint16_t>(mRng() % 4);
    request.mCaller = mRng() % 5;
    request.mHops = static_cast<std::uint16_t>(mRng() % 2);
    request.mArrival = mHost.mNow;
    request.mDeadline = mHost.mNow + std::chrono::milliseconds(mRng() % 3000);
    mLives[request.mId] = Life::Waits;
    mHost.Send(request);
  }

  void End()
  {
    if (mRunning.empty()) {
      mHost.Advance(0ms);
      return;
    }
    const RequestId id = mRunning[mRng() % mRunning.size()];
    std::erase(mRunning, id);
    mLives[id] = Life::Over;
    const auto result = static_cast<RunResult>(mRng() % 6);
    mHost.Done(id, std::chrono::milliseconds(mRng() % 200), result);
  }

  void Cancel()
  {
    mHost.mActions.clear();
    const RequestId id = mHost.mLast - mRng() % 20;
    if (mHost.mPolicy->OnCancel(id, mHost.mNow, mHost.mActions)) {
      CHECK_TRUE(mLives.at(id) == Life::Waits);
      mLives[id] = Life::Over;
    }
  }

  void SetSlots()
  {
    mHost.mActions.clear();
    mSlots = static_cast<std::uint32_t>(mRng() % 4);
    mHost.mPolicy->OnSlots(mSlots, mHost.mNow, mHost.mActions);
  }

  void Book()
  {
    for (const auto& it : mHost.mActions) {
      CHECK_TRUE(mLives.at(it.mId) == Life::Waits);
      const bool runs = it.mKind == ActionKind::Dispatch;
      mLives[it.mId] = runs ? Life::Runs : Life::Over;
      if (runs) {
        mRunning.push_back(it.mId);
        CHECK_TRUE(mRunning.size() <= mSlots);
      }
      const bool isTold = it.mRetryAfter > Duration{};
      const bool isRefusal =
        it.mKind == ActionKind::Refuse || it.mKind == ActionKind::Expire;
      CHECK_EQUAL(isRefusal, isTold);
    }
    mHost.mActions.clear();
    CHECK_EQUAL(Count(Life::Waits), mHost.mPolicy->Load().mQueued);
    CHECK_EQUAL(mRunning.size(), mHost.mPolicy->Load().mBusy);
    const auto next = mHost.mPolicy->NextWakeUp();
    CHECK_TRUE(!next || *next > mHost.mNow);
  }

  AdmissionDriver mHost;
  std::mt19937_64 mRng;
  std::uint32_t mSlots = 2;
  std::map<RequestId, Life> mLives;
  std::vector<RequestId> mRunning;
};

} // namespace

TEST_GROUP(AdmissionInvariant){};

// Whatever comes in whatever order: no request is answered twice, run twice or
// forgotten, no slot is given twice, and every refusal says when to return.
TEST(AdmissionInvariant, EachRequestEndsOnceAndEachSlotIsUsedOnce)
{
  for (auto name : { "reservation", "priority", "fifo" }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      RandomDriver driver(name, seed);
      for (int i = 0; i < 500; ++i) {
        driver.Step();
      }
      driver.Drain();
      CHECK_EQUAL(0, driver.Count(Life::Waits));
      CHECK_EQUAL(0, driver.Count(Life::Runs));
    }
  }
}
