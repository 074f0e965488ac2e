#include "src/passthrough/DrainWatch.h"

#include <deque>
#include <vector>

#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

/** A store that holds watches of names until the test answers them. */
class HeldNames final : public FakeObjectStore
{
public:
  struct Call
  {
    std::uint64_t mAfter = 0;
    Done<NameChange> mDone;
  };
  std::deque<Call> mHeld;

  void WatchNames(std::string_view, std::uint64_t aAfter, Duration,
                  Done<NameChange> aDone) override
  {
    mHeld.push_back({ aAfter, std::move(aDone) });
  }

  void Answer(std::uint64_t aAsOf,
              std::optional<std::vector<std::string>> aNames)
  {
    Call call = std::move(mHeld.front());
    mHeld.pop_front();
    call.mDone(NameChange{ aAsOf, std::move(aNames) });
  }
};

DataCentreDrains Drained(std::uint64_t aVersion, const char* aName)
{
  return { aVersion, { MakeDataCentreId(aName) } };
}

} // namespace

TEST_GROUP(DrainWatch)
{
  ManualClock mClock;
  HeldNames mStore;
  std::vector<DataCentreDrains> mSeen;
  std::shared_ptr<DrainWatch> mWatch = DrainWatch::Make(
    mClock, mStore, { .mKind = "drains", .mSchedule = {} },
    [this](const DataCentreDrains& aIt) { mSeen.push_back(aIt); });

  void setup() override
  {
    mWatch->SetWatches(true);
    mWatch->OnTick();
  }

  bool IsDrained(const char* aName) const
  {
    return mWatch->Drains().Contains(MakeDataCentreId(aName));
  }
};

TEST(DrainWatch, ReadsThenWatchesFromThere)
{
  CHECK_FALSE(mWatch->IsKnown());
  CHECK_EQUAL(0, mStore.mHeld[0].mAfter);
  mStore.Answer(100, std::vector<std::string>{});
  CHECK_TRUE(mWatch->IsKnown());
  CHECK_EQUAL(1, mSeen.size());
  CHECK_EQUAL(100, mStore.mHeld[0].mAfter);
  mStore.Answer(104, std::vector<std::string>{ "b", "a" });
  CHECK_TRUE(IsDrained("a"));
  CHECK_TRUE(IsDrained("b"));
  mStore.Answer(107, std::vector<std::string>{ "b" });
  CHECK_FALSE(IsDrained("a"));
  CHECK_EQUAL(3, mSeen.size());
}

// Other objects of the store change: the version moves on, nobody is told.
TEST(DrainWatch, AWatchWithoutNewsOnlyMovesOn)
{
  mStore.Answer(100, std::vector<std::string>{ "a" });
  mClock.Advance(2000ms);
  mStore.Answer(150, std::nullopt);
  CHECK_EQUAL(150, mStore.mHeld[0].mAfter);
  CHECK_EQUAL(150, mWatch->Drains().mVersion);
  CHECK_TRUE(IsDrained("a"));
  CHECK_EQUAL(1, mSeen.size());
}

// Guards against a drain that is taken back by word of a balancer behind a cut.
TEST(DrainWatch, AnOlderStateOfAPeerIsNotBelieved)
{
  mStore.Answer(100, std::vector<std::string>{ "a" });
  mWatch->OnPeer({ 99, {} });
  CHECK_TRUE(IsDrained("a"));
  mWatch->OnPeer({ 101, {} });
  CHECK_FALSE(IsDrained("a"));
  mWatch->OnPeer(Drained(100, "a"));
  CHECK_FALSE(IsDrained("a"));
}

// Guards against a balancer that starts while the store is away and places
// flows on hosts that its neighbours know to be drained.
TEST(DrainWatch, APeersWordIsEnoughWhileTheStoreIsAway)
{
  mStore.mHeld.front().mDone(Fail(ErrorKind::Unavailable, "away", "wait"));
  CHECK_FALSE(mWatch->IsKnown());
  mWatch->OnPeer(Drained(100, "a"));
  CHECK_TRUE(mWatch->IsKnown());
  CHECK_TRUE(IsDrained("a"));
}

// Guards against a watch that goes on after a failure and misses what came in
// between.
TEST(DrainWatch, AfterAFailureTheWholeIsRead)
{
  mStore.Answer(100, std::vector<std::string>{});
  mStore.mHeld.front().mDone(Fail(ErrorKind::Timeout, "lost", "again"));
  mStore.mHeld.clear();
  mClock.Advance(2000ms);
  mWatch->OnTick();
  CHECK_EQUAL(0, mStore.mHeld[0].mAfter);
}

// Guards against an answer from before a standstill that overwrites a read.
TEST(DrainWatch, AnAnswerToACallGivenUpIsDropped)
{
  mWatch->ReadNow();
  mStore.Answer(90, std::vector<std::string>{ "a" });
  CHECK_FALSE(mWatch->IsKnown());
  mStore.Answer(100, std::vector<std::string>{});
  CHECK_TRUE(mWatch->IsKnown());
}

// Guards against a watch that went silent: an order was given since, and only
// the store's version, told by other answers, shows that something changed.
TEST(DrainWatch, AMovedVersionOfTheStoreIsLookedInto)
{
  mStore.Answer(100, std::vector<std::string>{});
  auto silent = std::move(mStore.mHeld.front());
  mStore.mHeld.clear();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion(100, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
  CHECK_TRUE(mStore.mHeld.empty());
  Time before = mClock.Now();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion(103, mClock.Now());
  mWatch->OnStoreVersion(104, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == before);
  CHECK_EQUAL(1, mStore.mHeld.size());
  mStore.Answer(104, std::vector<std::string>{ "a" });
  CHECK_TRUE(IsDrained("a"));
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
}

TEST(DrainWatch, WithoutAKindNothingIsCalledOrBelieved)
{
  auto off =
    DrainWatch::Make(mClock, mStore, {}, [](const DataCentreDrains&) {});
  std::size_t before = mStore.mHeld.size();
  off->SetWatches(true);
  off->OnTick();
  off->OnPeer(Drained(5, "a"));
  CHECK_EQUAL(before, mStore.mHeld.size());
  CHECK_TRUE(off->IsKnown());
  CHECK_TRUE(off->Drains().mDataCentres.empty());
}
