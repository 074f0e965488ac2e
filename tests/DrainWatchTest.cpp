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
    StoreVersion mAfter;
    Done<NameChange> mDone;
  };
  std::deque<Call> mPending;

  void WatchNames(std::string_view, StoreVersion aAfter, Duration,
                  Done<NameChange> aDone) override
  {
    mPending.push_back({ aAfter, std::move(aDone) });
  }

  void Answer(std::uint64_t aAsOf,
              std::optional<std::vector<std::string>> aNames)
  {
    Answer(StoreVersion{ aAsOf }, std::move(aNames));
  }

  void Answer(StoreVersion aAsOf,
              std::optional<std::vector<std::string>> aNames)
  {
    Call call = std::move(mPending.front());
    mPending.pop_front();
    call.mDone(NameChange{ aAsOf, std::move(aNames) });
  }
};

DataCentreDrains Drained(std::uint64_t aVersion, const char* aName)
{
  return { { aVersion }, { MakeDataCentreId(aName) } };
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
  CHECK_EQUAL(0, mStore.mPending[0].mAfter.mRevision);
  mStore.Answer(100, std::vector<std::string>{});
  CHECK_TRUE(mWatch->IsKnown());
  CHECK_EQUAL(1, mReported.size());
  CHECK_EQUAL(100, mStore.mPending[0].mAfter.mRevision);
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
  CHECK_EQUAL(150, mStore.mPending[0].mAfter.mRevision);
  CHECK_EQUAL(150, mWatch->Drains().mVersion.mRevision);
  CHECK_TRUE(IsDrained("a"));
  CHECK_EQUAL(1, mReported.size());
}

// Guards against a drain that is undone by an isolated balancer's old notice.
TEST(DrainWatch, AnOlderVersionFromAPeerIsIgnored)
{
  mStore.Answer(100, std::vector<std::string>{ "a" });
  mWatch->OnPeerDrains({ { 99 }, {} });
  CHECK_TRUE(IsDrained("a"));
  mWatch->OnPeerDrains({ { 101 }, {} });
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
  CHECK_EQUAL(0, mStore.mPending[0].mAfter.mRevision);
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
  mWatch->OnStoreVersion({ 100 }, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
  CHECK_TRUE(mStore.mPending.empty());
  Time before = mClock.Now();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion({ 103 }, mClock.Now());
  mWatch->OnStoreVersion({ 104 }, mClock.Now());
  CHECK(mWatch->ConfirmedAt() == before);
  CHECK_EQUAL(1, mStore.mPending.size());
  mStore.Answer(104, std::vector<std::string>{ "a" });
  CHECK_TRUE(IsDrained("a"));
  CHECK(mWatch->ConfirmedAt() == mClock.Now());
}

// Guards against a data centre that stays drained, or in use, after the store
// was restored from a copy: each newer order has a lower revision.
TEST(DrainWatch, ALowerRevisionOfALaterEraIsAdopted)
{
  mStore.Answer({ 100, 1 }, std::vector<std::string>{});
  mStore.Answer({ 60, 2 }, std::vector<std::string>{ "a" });
  CHECK_TRUE(IsDrained("a"));
  mWatch->OnPeerDrains({ { 101, 1 }, {} });
  CHECK_TRUE(IsDrained("a"));
  mStore.Answer({ 61, 2 }, std::vector<std::string>{ "b" });
  CHECK_TRUE(IsDrained("b"));
}

// Guards against a balancer that hears of the restore by another call while its
// watch does not respond.
TEST(DrainWatch, ALaterEraTriggersARead)
{
  mStore.Answer({ 100, 1 }, std::vector<std::string>{});
  mStore.mPending.clear();
  mClock.Advance(1500ms);
  mWatch->OnStoreVersion({ 0, 2 }, mClock.Now());
  CHECK_EQUAL(1, mStore.mPending.size());
  CHECK_FALSE(mStore.mPending[0].mAfter.IsKnown());
}

// Guards against flows to hosts that are about to lose power: the copy that the
// store was restored from lacks the drain, and the operator has yet to write it
// again.
TEST(DrainWatch, ADrainThatARestoreUndidIsHeldForTheOperator)
{
  mStore.Answer({ 100, 1 }, std::vector<std::string>{ "a" });
  mStore.Answer({ 60, 2 }, std::vector<std::string>{});
  CHECK_TRUE(mReported.back().Contains(MakeDataCentreId("a")));
  CHECK_TRUE(mReported.back().mVersion == (StoreVersion{ 60, 2 }));
  mStore.Answer({ 62, 2 }, std::vector<std::string>{ "b" });
  CHECK_EQUAL(2, mReported.back().mDataCentres.size());
  mClock.Advance(DrainWatch::kRestoreHold);
  mWatch->OnTick();
  CHECK_FALSE(mReported.back().Contains(MakeDataCentreId("a")));
  CHECK_TRUE(mReported.back().Contains(MakeDataCentreId("b")));
}

// Guards against agents that take notices with the version of an earlier era
// for outdated ones while the list of drains is the same.
TEST(DrainWatch, ALaterEraIsReportedEvenIfNoDrainChanged)
{
  mStore.Answer({ 100, 1 }, std::vector<std::string>{ "a" });
  mStore.Answer({ 60, 2 }, std::vector<std::string>{ "a" });
  CHECK_EQUAL(2, mReported.size());
  CHECK_TRUE(mReported.back().mVersion == (StoreVersion{ 60, 2 }));
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
