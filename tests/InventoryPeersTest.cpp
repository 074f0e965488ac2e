#include "src/passthrough/InventoryPeers.h"

#include <vector>

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(InventoryPeers)
{
  using Known = InventoryPeers::Known;

  ManualClock mClock;
  InventoryPeers mPeers{ { *ParseAddress("10.0.0.1:7"), 1000, 1 } };
  std::vector<Address> mOthers{ *ParseAddress("10.0.0.2:7"),
                                *ParseAddress("10.0.0.3:7") };

  InventoryNotice NoticeOf(std::size_t aOther, std::uint64_t aVersion) const
  {
    InventoryNotice out;
    out.mVersion = aVersion;
    out.mControl = mOthers[aOther];
    return out;
  }

  std::vector<InventoryPeers::Send> Hear(const InventoryNotice& aNotice)
  {
    return mPeers.OnNotice(aNotice, Known{ 5, {}, {} }, mClock.Now());
  }
};

TEST(InventoryPeers, TellsItsVersionTwiceASecondAndAtOnceOnChange)
{
  Known known{ 5, 40ms, {} };
  CHECK_EQUAL(2, mPeers.OnTick(mOthers, known, mClock.Now()).size());
  mClock.Advance(499ms);
  CHECK_EQUAL(0, mPeers.OnTick(mOthers, known, mClock.Now()).size());
  known.mVersion = 6;
  auto sent = mPeers.OnChanged(mOthers, known, mClock.Now());
  CHECK_EQUAL(2, sent.size());
  CHECK_EQUAL(6, sent[0].mNotice.mVersion);
  CHECK_TRUE(sent[0].mNotice.mConfirmedAgo == known.mConfirmedAgo);
  CHECK_FALSE(sent[0].mNotice.mWantsDocument);
}

// The store turns a balancer away while the operator changes the routes. It
// must have them from its peers within the time that changes may take.
TEST(InventoryPeers, AsksForANewerVersionAndNotInAStream)
{
  auto asked = Hear(NoticeOf(0, 9));
  CHECK_EQUAL(1, asked.size());
  CHECK_TRUE(asked[0].mNotice.mWantsDocument);
  CHECK_TRUE(asked[0].mTo == mOthers[0]);
  CHECK_EQUAL(0, Hear(NoticeOf(0, 9)).size());
  CHECK_EQUAL(0, Hear(NoticeOf(1, 9)).size());
  mClock.Advance(InventoryPeers::kDocumentWithin);
  CHECK_EQUAL(1, Hear(NoticeOf(1, 9)).size());
  mPeers.OnDocument(true);
  CHECK_EQUAL(0, Hear(NoticeOf(0, 5)).size());
}

// A link carries less than its settings say, so that no document comes in time.
// Asked for at the same pace on and on, their copies would keep it full.
TEST(InventoryPeers, WaitsLongerAfterEachDocumentThatDoesNotCome)
{
  std::vector<Duration> waits;
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(1, Hear(NoticeOf(0, 9)).size());
    Time askedAt = mClock.Now();
    while (mPeers.IsAsking(mClock.Now())) {
      mClock.Advance(100ms);
    }
    waits.push_back(mClock.Now() - askedAt);
  }
  CHECK_TRUE(waits[0] == InventoryPeers::kDocumentWithin);
  CHECK_TRUE(waits[1] == 2 * InventoryPeers::kDocumentWithin);
  CHECK_TRUE(waits[4] == InventoryPeers::kDocumentWithinAtMost);
}

TEST(InventoryPeers, OwesADocumentOnlyToThoseBehind)
{
  auto asks = NoticeOf(0, 5);
  asks.mWantsDocument = true;
  CHECK_TRUE(InventoryPeers::IsOwedDocument(asks, 6));
  CHECK_FALSE(InventoryPeers::IsOwedDocument(asks, 5));
  asks.mWantsDocument = false;
  CHECK_FALSE(InventoryPeers::IsOwedDocument(asks, 6));
}

// A balancer that starts has no routes. It says so to some others; who has them
// answers, and the first of these is asked.
TEST(InventoryPeers, WhoIsBehindIsTold)
{
  auto told = Hear(NoticeOf(1, 0));
  CHECK_EQUAL(1, told.size());
  CHECK_TRUE(told[0].mTo == mOthers[1]);
  CHECK_EQUAL(5, told[0].mNotice.mVersion);
  CHECK_FALSE(told[0].mNotice.mWantsDocument);
}

TEST(InventoryPeers, WhoIsTurnedAwayAsksAnother)
{
  Hear(NoticeOf(0, 9));
  auto busy = mPeers.Busy(NoticeOf(1, 3), Known{ 9, {}, {} });
  CHECK_TRUE(busy.mTo == mOthers[1]);
  CHECK_TRUE(busy.mNotice.mIsBusy);
  auto turnsAway = NoticeOf(0, 9);
  turnsAway.mIsBusy = true;
  CHECK_EQUAL(0, Hear(turnsAway).size());
  CHECK_EQUAL(1, Hear(NoticeOf(1, 9)).size());
}

// Everything returns from a power loss, and the first balancer that has routes
// is asked by all others at once. Its callers' packets need most of its link.
TEST(InventoryPeers, GivesNoMoreThanItsShareOfTheLink)
{
  constexpr std::size_t kDocument = 100;
  std::size_t given = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    given += mPeers.TakeLink(kDocument, mClock.Now()) ? kDocument : 0;
    mClock.Advance(1ms);
  }
  double most = 1000 * InventoryPeers::kLinkShare * 11 + kDocument;
  CHECK_TRUE(static_cast<double>(given) <= most);
  CHECK_TRUE(static_cast<double>(given) >= most * 0.8);
}

// A large fleet: a balancer tells a few others, not all.
TEST(InventoryPeers, TellsABoundedNumber)
{
  std::vector<Address> many;
  for (std::uint16_t i = 1; i < 1000; ++i) {
    many.push_back({ mOthers[0].mIp, i });
  }
  CHECK_EQUAL(InventoryPeers::kFanOut,
              mPeers.OnTick(many, Known{ 1, {}, {} }, mClock.Now()).size());
}
