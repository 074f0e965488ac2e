#include "src/passthrough/DrainWatch.h"

#include <deque>
#include <vector>

#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

/** A store whose watches of names the test completes. */
class ManualNameStore final : public FakeObjectStore
{
public:
  struct Call
  {
    std::uint64_t mAfter = 0;
    Done<NameChange> mDone;
  };
  std::deque<Call> mPending;

  void WatchNames(std::string_view, std::uint64_t aAfter, Duration,
                  Done<NameChange> aDone) override
  {
    mPending.push_back({ aAfter, std::move(aDone) });
  }

  void Answer(std::uint64_t aAsOf,
              std::optional<std::vector<std::string>> aNames)
  {
    Call call = std::move(mPending.front());
    mPending.pop_front();
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
  ManualNameStore mStore;
  std::vector<DataCentreDrains> mReported;
  std::shared_ptr<DrainWatch> mWatch = DrainWatch::Make(
    mClock, mStore, { .mKind = "drains", .mSchedule = {} },
    [this](const DataCentreDrains& aIt) { mReported.push_back(aIt); });

  void setup() override
  {
    mWatch->SetWatching(true);
    mWatch->OnTick();
  }

  bool IsDrained(const char* aName) const
  {
    return mWatch->Drains().Contains(MakeDataCentreId(aName));
  }
};

TEST(DrainWatch, WatchesFromTheVersionOfTheFirstRead)
{
  CHECK_FALSE(mWatch->IsKnown());
  CHECK_EQUAL(0, mStore.mPending[0].mAfter);
  mStore.Answer(100, std::vector<std::string>{});
  CHECK_TRUE(mWatch->IsKnown());
  CHECK_EQUAL(1, mReported.size());
  CHECK_EQUAL(100, mStore.mPending[0].mAfter);
  mStore.Answer(104, std::vector<std::string>{ "b", "a" });
  CHECK_TRUE(IsDrained("a"));
  CHECK_TRUE(IsDrained("b"));
  mStore.Answer(107, std::vector<std::string>{ "b" });
  CHECK_FALSE(IsDrained("a"));
  CHECK_EQUAL(3, mReported.size());
}

// Other objects of the store change: the version increases without a callback.
TEST(DrainWatch, AWatchWithoutChangeOnlyAdvancesTheVersion)
{
  mStore.Answer(100, std::vector<std::string>{ "a" });
  mClock.Advance(2000ms);
  mStore.Answer(150, std::nullopt);
  CHECK_EQUAL(150, mStore.mPending[0].mAfter);
  CHECK_EQUAL(150, mWatch->Drains().mVersion);
  CHECK_TRUE(IsDrained("a"));
  CHECK_EQUAL(1, mReported.size());
}

// Guards against a drain that is undone by an isolated balancer's old notice.
TEST(DrainWatch, AnOlderVersionFromAPeerIsIgnored)
{
  mStore.Answer(100, std::vector<std::string>{ "a" });
  mWatch->OnPeerDrains({ 99, {} });
  CHECK_TRUE(IsDrained("a"));
  mWatch->OnPeerDrains({ 101, {} });
  CHECK_FALSE(IsDrained("a"));
  mWatch->OnPeerDrains(Drained(100, "a"));
  CHECK_FALSE(IsDrained("a"));
}

// Guards against a balancer that starts while the store is unavailable and
// places flows on hosts in a data centre that its peers know to be drained.
TEST(DrainWatch, DrainsFromAPeerSufficeWhileTheStoreIsUnavailable)
{
  mStore.mPending.front().mDone(
    Fail(ErrorKind::Unavailable, "unavailable", "wait"));
  CHECK_FALSE(mWatch->IsKnown());
  mWatch->OnPeerDrains(Drained(100, "a"));
  CHECK_TRUE(mWatch->IsKnown());
  CHECK_TRUE(IsDrained("a"));
}

// Guards against a watch resumed after a failure, which misses the changes
// since.
TEST(DrainWatch, AllNamesAreReadAfterAFailure)
{
  mStore.Answer(100, std::vector<std::string>{});
  mStore.mPending.front().mDone(
    Fail(ErrorKind::Timeout, "no response", "retry"));
  mStore.mPending.clear();
  mClock.Advance(2000ms);
  mWatch->OnTick();
  CHECK_EQUAL(0, mStore.mPending[0].mAfter);
}

// Guards against a response to a call from before a process stall that
// overwrites the read after it.
TEST(DrainWatch, TheResponseToAnAbandonedCallIsDropped)
{
  mWatch->ReadNow();
  mStore.Answer(90, std::vector<std::string>{ "a" });
  CHECK_FALSE(mWatch->IsKnown());
  mStore.Answer(100, std::vector<std::string>{});
  CHECK_TRUE(mWatch->IsKnown());
}

// Guards against a missed drain while the watch is unresponsive: only the
// store's version in responses to other calls shows that something changed.
TEST(DrainWatch, AHigherStoreVersionTriggersARead)
{
  mStore.Answer(100, std::vector<std::string>{});
  auto unresponsive = std::move(mStore.mPending.front());
  mStore.mPending.clear();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion(100, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
  CHECK_TRUE(mStore.mPending.empty());
  Time before = mClock.Now();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion(103, mClock.Now());
  mWatch->OnStoreVersion(104, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == before);
  CHECK_EQUAL(1, mStore.mPending.size());
  mStore.Answer(104, std::vector<std::string>{ "a" });
  CHECK_TRUE(IsDrained("a"));
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
}

TEST(DrainWatch, WithoutAKindStoreAndPeersAreIgnored)
{
  auto disabled =
    DrainWatch::Make(mClock, mStore, {}, [](const DataCentreDrains&) {});
  std::size_t before = mStore.mPending.size();
  disabled->SetWatching(true);
  disabled->OnTick();
  disabled->OnPeerDrains(Drained(5, "a"));
  CHECK_EQUAL(before, mStore.mPending.size());
  CHECK_TRUE(disabled->IsKnown());
  CHECK_TRUE(disabled->Drains().mDataCentres.empty());
}
