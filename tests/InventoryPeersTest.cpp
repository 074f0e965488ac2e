#include "src/passthrough/InventoryPeers.h"

#include <vector>

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(InventoryPeers)
{
  ManualClock mClock;
  InventoryPeers mPeers{ *ParseAddress("10.0.0.1:7"), 1 };
  std::vector<Address> mOthers{ *ParseAddress("10.0.0.2:7"),
                                *ParseAddress("10.0.0.3:7") };
};

TEST(InventoryPeers, TellsItsVersionTwiceASecondAndAtOnceOnChange)
{
  CHECK_EQUAL(2, mPeers.OnTick(mOthers, 5, mClock.Now()).size());
  mClock.Advance(499ms);
  CHECK_EQUAL(0, mPeers.OnTick(mOthers, 5, mClock.Now()).size());
  auto sent = mPeers.OnChanged(mOthers, 6, mClock.Now());
  CHECK_EQUAL(2, sent.size());
  CHECK_EQUAL(6, sent[0].mNotice.mVersion);
  CHECK_FALSE(sent[0].mNotice.mWantsDocument);
}

// The store turns a balancer away while the operator changes the routes. It
// must have them from its peers within the time that changes may take.
TEST(InventoryPeers, AsksForANewerVersionAndNotInAStream)
{
  InventoryNotice notice{ 9, *ParseAddress("10.0.0.2:7"), false };
  auto asked = mPeers.OnNotice(notice, 5, mClock.Now());
  CHECK_EQUAL(1, asked.size());
  CHECK_TRUE(asked[0].mNotice.mWantsDocument);
  CHECK_TRUE(asked[0].mTo == notice.mControl);
  CHECK_EQUAL(0, mPeers.OnNotice(notice, 5, mClock.Now()).size());
  mClock.Advance(InventoryPeers::kAskAgainAfter);
  CHECK_EQUAL(1, mPeers.OnNotice(notice, 5, mClock.Now()).size());
  mClock.Advance(1s);
  CHECK_EQUAL(0, mPeers.OnNotice(notice, 9, mClock.Now()).size());
}

TEST(InventoryPeers, OwesADocumentOnlyToThoseBehind)
{
  InventoryNotice asks{ 5, *ParseAddress("10.0.0.2:7"), true };
  CHECK_TRUE(InventoryPeers::IsOwedDocument(asks, 6));
  CHECK_FALSE(InventoryPeers::IsOwedDocument(asks, 5));
  asks.mWantsDocument = false;
  CHECK_FALSE(InventoryPeers::IsOwedDocument(asks, 6));
}

TEST(InventoryPeers, WithoutRoutesItAsks)
{
  auto sent = mPeers.OnTick(mOthers, 0, mClock.Now());
  CHECK_TRUE(sent[0].mNotice.mWantsDocument);
}

// A large fleet: a balancer tells a few others, not all.
TEST(InventoryPeers, TellsABoundedNumber)
{
  std::vector<Address> many;
  for (std::uint16_t i = 1; i < 1000; ++i) {
    many.push_back({ mOthers[0].mIp, i });
  }
  CHECK_EQUAL(InventoryPeers::kFanOut,
              mPeers.OnTick(many, 1, mClock.Now()).size());
}
