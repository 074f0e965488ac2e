#include "src/passthrough/InventoryWatch.h"

#include <deque>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

/** A store whose answers the test gives, one call at a time. */
class HeldStore final : public ObjectStore
{
public:
  struct Call
  {
    std::uint64_t mAfter = 0;
    bool mIsWatch = false;
    Done<Object> mGot;
    Done<std::optional<Object>> mWatched;
  };
  std::deque<Call> mHeld;
  int mCalls = 0;

  void Get(std::string_view, Done<Object> aDone) override
  {
    ++mCalls;
    mHeld.push_back({ 0, false, std::move(aDone), {} });
  }
  void Watch(std::string_view, std::uint64_t aAfter, Duration,
             Done<std::optional<Object>> aDone) override
  {
    ++mCalls;
    mHeld.push_back({ aAfter, true, {}, std::move(aDone) });
  }
  void Put(std::string_view, std::string, WriteCondition,
           Done<std::uint64_t>) override
  {
  }
  void Delete(std::string_view, WriteCondition, Done<std::uint64_t>) override {}
  void List(std::string_view, Done<std::vector<ObjectName>>) override {}

  Call Take()
  {
    Call call = std::move(mHeld.front());
    mHeld.pop_front();
    return call;
  }
};

/** The document is the version in digits. */
class PlainReader final : public FlowInventoryReader
{
public:
  Result<FlowInventoryPtr> Read(std::string_view aDocument) const override
  {
    auto out = std::make_shared<FlowInventory>();
    out->mVersion =
      static_cast<std::uint64_t>(std::atoi(std::string(aDocument).c_str()));
    if (out->mVersion == 0) {
      return Fail(ErrorKind::Malformed, "no version", "write one");
    }
    return out;
  }
};

Object Doc(const char* aText, std::uint64_t aVersion)
{
  return { "k", aText, aVersion };
}

} // namespace

TEST_GROUP(InventoryWatch)
{
  ManualClock mClock;
  HeldStore mStore;
  PlainReader mReader;
  std::vector<std::uint64_t> mSeen;
  std::shared_ptr<InventoryWatch> mWatch = InventoryWatch::Make(
    mClock, mStore, mReader, {},
    [this](const FlowInventoryPtr& aIt, const std::string&) {
      mSeen.push_back(aIt->mVersion);
    });

  void setup() override
  {
    mWatch->SetWatchFor(5000ms);
  }

  void ReadFirst()
  {
    mWatch->OnTick();
    mStore.Take().mGot(Doc("7", 100));
  }
};

TEST(InventoryWatch, ReadsThenWatchesFromThere)
{
  ReadFirst();
  CHECK_EQUAL(7, mWatch->Version());
  CHECK_EQUAL(1, mStore.mHeld.size());
  CHECK_TRUE(mStore.mHeld[0].mIsWatch);
  CHECK_EQUAL(100, mStore.mHeld[0].mAfter);
  mStore.Take().mWatched(std::optional<Object>(Doc("9", 105)));
  CHECK_EQUAL(9, mWatch->Version());
  CHECK_EQUAL(105, mStore.mHeld[0].mAfter);
  STRCMP_EQUAL("9", mWatch->Document().c_str());
}

// A stale read, a slow peer and a late answer each bring an older version. Were
// one put in force, routes that were dropped would serve again.
TEST(InventoryWatch, NeverGoesBack)
{
  ReadFirst();
  mWatch->OnPeerDocument("12");
  mWatch->OnPeerDocument("11");
  mStore.Take().mWatched(std::optional<Object>(Doc("9", 105)));
  CHECK_EQUAL(12, mWatch->Version());
  CHECK_EQUAL(2, mSeen.size());
}

// The store is away: calls fail at once. They must not come in a stream, and
// after the first success everything is read anew.
TEST(InventoryWatch, PausesAfterFailuresAndReadsWhole)
{
  ReadFirst();
  mStore.Take().mWatched(
    Fail(ErrorKind::Unavailable, "refuses: 503", "try again later"));
  int calls = mStore.mCalls;
  for (int i = 0; i < 200; ++i) {
    mClock.Advance(50ms);
    mWatch->OnTick();
    while (!mStore.mHeld.empty()) {
      CHECK_FALSE(mStore.mHeld[0].mIsWatch);
      mStore.Take().mGot(Fail(ErrorKind::Timeout, "no answer", "wait"));
    }
  }
  // Ten seconds of pauses that grow to 1.5 s, drawn from zero on.
  CHECK_TRUE(mStore.mCalls - calls < 40);
  CHECK_TRUE(mStore.mCalls - calls > 5);
}

// A store, or something before it, answers each watch at once with nothing.
TEST(InventoryWatch, WatchesThatDoNotWaitAreNotMadeInAStream)
{
  ReadFirst();
  int calls = mStore.mCalls;
  for (int i = 0; i < 200; ++i) {
    if (!mStore.mHeld.empty()) {
      mStore.Take().mWatched(std::optional<Object>());
    }
    mClock.Advance(50ms);
    mWatch->OnTick();
  }
  CHECK_TRUE(mStore.mCalls - calls < 40);
}

TEST(InventoryWatch, AStoreWithoutRoutesIsNotLost)
{
  mWatch->OnTick();
  mStore.Take().mGot(Fail(ErrorKind::NotFound, "no object", "write it"));
  CHECK_FALSE(mWatch->IsStoreLost());
  mClock.Advance(2s);
  mWatch->OnTick();
  mStore.Take().mGot(Fail(ErrorKind::Unavailable, "refuses", "wait"));
  CHECK_TRUE(mWatch->IsStoreLost());
}

// The process was suspended with a watch under way. Its answer, when it comes,
// is older than what is read after waking.
TEST(InventoryWatch, AfterAStandstillItReadsAndDropsTheOldCall)
{
  ReadFirst();
  auto old = mStore.Take();
  mWatch->ReadNow();
  CHECK_FALSE(mStore.mHeld[0].mIsWatch);
  old.mWatched(std::optional<Object>(Doc("8", 101)));
  CHECK_EQUAL(7, mWatch->Version());
  mStore.Take().mGot(Doc("9", 105));
  CHECK_EQUAL(9, mWatch->Version());
}

TEST(InventoryWatch, ADocumentThatCanNotBeReadChangesNothing)
{
  ReadFirst();
  mStore.Take().mWatched(std::optional<Object>(Doc("x", 105)));
  CHECK_EQUAL(7, mWatch->Version());
  CHECK_EQUAL(1, mSeen.size());
  // It goes on from there, not in a circle.
  CHECK_EQUAL(105, mStore.mHeld[0].mAfter);
}

// In a large fleet most balancers leave the store to a few. One that stood
// still may have missed what those told, and reads once.
TEST(InventoryWatch, WithoutAWatchItReadsOnlyWhenTold)
{
  mWatch->SetWatchFor(std::nullopt);
  mWatch->OnTick();
  CHECK_EQUAL(0, mStore.mCalls);
  mWatch->ReadNow();
  CHECK_EQUAL(1, mStore.mHeld.size());
  mStore.Take().mGot(Doc("7", 100));
  mWatch->OnTick();
  CHECK_EQUAL(1, mStore.mCalls);
  CHECK_EQUAL(7, mWatch->Version());
}

// An answer waits on a full link, and the routes change meanwhile. Others rely
// on what this balancer says of the store, so it must not count from when the
// answer came.
TEST(InventoryWatch, ALateAnswerConfirmsWhatWasTrueWhenItWasGiven)
{
  Time calledAt = mClock.Now();
  mWatch->OnTick();
  mClock.Advance(900ms);
  mStore.Take().mGot(Doc("7", 100));
  CHECK_TRUE(mWatch->ConfirmedAt() == calledAt);
  Time watchedAt = mClock.Now();
  mClock.Advance(5900ms);
  mStore.Take().mWatched(std::optional<Object>());
  CHECK_TRUE(mWatch->ConfirmedAt() == watchedAt + 5000ms);
  mClock.Advance(100ms);
  mStore.Take().mWatched(std::optional<Object>(Doc("9", 105)));
  CHECK_TRUE(mWatch->ConfirmedAt() == mClock.Now());
}

// Guards against a read of one object that is taken for word of the whole
// store: what else changed there is not known by it.
TEST(InventoryWatch, OnlyWatchesTellHowTheStoreStands)
{
  mClock.Advance(1s);
  ReadFirst();
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
  CHECK(mWatch->WatchedAt() == Time{});
  mClock.Advance(5000ms);
  mStore.Take().mWatched(std::optional<Object>());
  CHECK(mWatch->WatchedAt() == mClock.Now());
}
