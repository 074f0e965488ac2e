#include "src/passthrough/InventoryPeers.h"

#include <vector>

#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(InventoryPeers)
{
  using LocalState = InventoryPeers::LocalState;

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

  std::vector<InventoryPeers::OutgoingNotice> Receive(
    const InventoryNotice& aNotice)
  {
    return mPeers.OnNotice(aNotice, LocalState{ 5, {}, {} }, mClock.Now());
  }
};

TEST(InventoryPeers, SendsItsVersionTwiceASecondAndAtOnceOnChange)
{
  LocalState state{ 5, 40ms, {} };
  CHECK_EQUAL(2, mPeers.OnTick(mOthers, state, mClock.Now()).size());
  mClock.Advance(499ms);
  CHECK_EQUAL(0, mPeers.OnTick(mOthers, state, mClock.Now()).size());
  state.mVersion = 6;
  auto sent = mPeers.OnChanged(mOthers, state, mClock.Now());
  CHECK_EQUAL(2, sent.size());
  CHECK_EQUAL(6, sent[0].mNotice.mVersion);
  CHECK_TRUE(sent[0].mNotice.mConfirmedAgo == state.mConfirmedAgo);
  CHECK_FALSE(sent[0].mNotice.mWantsDocument);
}

// The store rejects a balancer's calls while the operator changes the routes.
// The balancer must get them from its peers within the propagation timeout.
TEST(InventoryPeers, RequestsANewerVersionOncePerTimeout)
{
  auto requests = Receive(NoticeOf(0, 9));
  CHECK_EQUAL(1, requests.size());
  CHECK_TRUE(requests[0].mNotice.mWantsDocument);
  CHECK_TRUE(requests[0].mTo == mOthers[0]);
  CHECK_EQUAL(0, Receive(NoticeOf(0, 9)).size());
  CHECK_EQUAL(0, Receive(NoticeOf(1, 9)).size());
  mClock.Advance(InventoryPeers::kDocumentTimeout);
  CHECK_EQUAL(1, Receive(NoticeOf(1, 9)).size());
  mPeers.OnDocument(true);
  CHECK_EQUAL(0, Receive(NoticeOf(0, 5)).size());
}

// A link is slower than configured, and no routes document arrives in time.
// Requests at a constant interval would keep it full with copies.
TEST(InventoryPeers, EachMissingDocumentDoublesTheTimeout)
{
  std::vector<Duration> waits;
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(1, Receive(NoticeOf(0, 9)).size());
    Time requestedAt = mClock.Now();
    while (mPeers.IsDocumentPending(mClock.Now())) {
      mClock.Advance(100ms);
    }
    waits.push_back(mClock.Now() - requestedAt);
  }
  CHECK_TRUE(waits[0] == InventoryPeers::kDocumentTimeout);
  CHECK_TRUE(waits[1] == 2 * InventoryPeers::kDocumentTimeout);
  CHECK_TRUE(waits[4] == InventoryPeers::kMaxDocumentTimeout);
}

TEST(InventoryPeers, SendsADocumentOnlyToPeersWithAnOlderVersion)
{
  auto request = NoticeOf(0, 5);
  request.mWantsDocument = true;
  CHECK_TRUE(InventoryPeers::ShouldSendDocument(request, 6));
  CHECK_FALSE(InventoryPeers::ShouldSendDocument(request, 5));
  request.mWantsDocument = false;
  CHECK_FALSE(InventoryPeers::ShouldSendDocument(request, 6));
}

// A balancer that starts has no routes and sends version 0 to some others.
// Those with routes respond, and it requests the routes document from the first
// of them.
TEST(InventoryPeers, ANoticeWithAnOlderVersionIsAnswered)
{
  auto response = Receive(NoticeOf(1, 0));
  CHECK_EQUAL(1, response.size());
  CHECK_TRUE(response[0].mTo == mOthers[1]);
  CHECK_EQUAL(5, response[0].mNotice.mVersion);
  CHECK_FALSE(response[0].mNotice.mWantsDocument);
}

TEST(InventoryPeers, ABusyNoticeAllowsARequestToAnotherPeer)
{
  Receive(NoticeOf(0, 9));
  auto busy = mPeers.MakeBusyNotice(NoticeOf(1, 3), LocalState{ 9, {}, {} });
  CHECK_TRUE(busy.mTo == mOthers[1]);
  CHECK_TRUE(busy.mNotice.mIsBusy);
  auto busyNotice = NoticeOf(0, 9);
  busyNotice.mIsBusy = true;
  CHECK_EQUAL(0, Receive(busyNotice).size());
  CHECK_EQUAL(1, Receive(NoticeOf(1, 9)).size());
}

// After a power loss all balancers request the routes document at once from the
// first balancer that has one. Its callers' packets need most of its link.
TEST(InventoryPeers, DocumentsUseNoMoreThanTheirShareOfTheLink)
{
  constexpr std::size_t kDocument = 100;
  std::size_t sentBytes = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    sentBytes += mPeers.ReserveLink(kDocument, mClock.Now()) ? kDocument : 0;
    mClock.Advance(1ms);
  }
  double limit = 1000 * InventoryPeers::kLinkShare * 11 + kDocument;
  CHECK_TRUE(static_cast<double>(sentBytes) <= limit);
  CHECK_TRUE(static_cast<double>(sentBytes) >= limit * 0.8);
}

// In a large fleet a balancer notifies a few others, not all.
TEST(InventoryPeers, NotifiesABoundedNumberOfPeers)
{
  std::vector<Address> many;
  for (std::uint16_t i = 1; i < 1000; ++i) {
    many.push_back({ mOthers[0].mIp, i });
  }
  CHECK_EQUAL(
    InventoryPeers::kFanOut,
    mPeers.OnTick(many, LocalState{ 1, {}, {} }, mClock.Now()).size());
}
