#include "src/passthrough/BalancerDirectory.h"

#include "src/net/Endpoint.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(BalancerDirectory)
{
  ManualClock mClock;
  FakeObjectStore mStore;
  std::vector<Address> mFound;
  const Address mSelf = *ParseAddress("10.0.0.1:7000");
  const Address mOther = *ParseAddress("10.0.0.2:7000");

  std::shared_ptr<BalancerDirectory> Make(std::optional<Address> aSelf)
  {
    return BalancerDirectory::Make(
      mStore, { "b", aSelf, 1 },
      [this](std::vector<Address> aFound) { mFound = std::move(aFound); });
  }
};

TEST(BalancerDirectory, NamesAreParsedBack)
{
  CHECK_TRUE(BalancerDirectory::Parse(BalancerDirectory::NameOf(mSelf)) ==
             mSelf);
  for (const char* it :
       { "", "x", "10.0.0.1:7000", "00000000000000000000ffff0a0000010000",
         "00000000000000000000ffff0a000001zzzz" }) {
    CHECK_FALSE(BalancerDirectory::Parse(it).has_value());
  }
}

// All seeds in the settings are gone when an agent starts. Its host gets no
// flow until the agent finds a balancer.
TEST(BalancerDirectory, ProcessWithoutPeersFindsRegisteredBalancers)
{
  auto balancer = Make(mOther);
  balancer->OnTick(false, mClock.Now());
  auto agent = Make(std::nullopt);
  agent->OnTick(false, mClock.Now());
  CHECK_TRUE(mFound.empty());
  agent->OnTick(true, mClock.Now());
  CHECK_EQUAL(1, mFound.size());
  CHECK_TRUE(mFound[0] == mOther);
}

TEST(BalancerDirectory, RegistersOnceAndAgainOnRequest)
{
  auto balancer = Make(mSelf);
  for (int i = 0; i < 100; ++i) {
    balancer->OnTick(false, mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_EQUAL(1, mStore.mCalls);
  mStore.mObjects.clear();
  balancer->RegisterAgain();
  balancer->OnTick(false, mClock.Now());
  CHECK_EQUAL(1, mStore.mObjects.size());
  balancer->Leave();
  CHECK_EQUAL(0, mStore.mObjects.size());
}

// The answer to the first write was lost; the second write conflicts with the
// entry that the first one created.
TEST(BalancerDirectory, LostAnswerIsResolvedByTheNextWrite)
{
  bool first = true;
  mStore.mOnWrite = [&](const std::string&) {
    return std::exchange(first, false) ? WriteFault::LostAnswer
                                       : WriteFault::None;
  };
  auto balancer = Make(mSelf);
  for (int i = 0; i < 100; ++i) {
    balancer->OnTick(false, mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_EQUAL(1, mStore.mObjects.size());
  CHECK_EQUAL(2, mStore.mCalls);
}

// A process that stays without peers must not overload the store: its pauses
// grow to ten seconds.
TEST(BalancerDirectory, ListsEntriesWithGrowingPauses)
{
  auto agent = Make(std::nullopt);
  for (int i = 0; i < 600; ++i) {
    agent->OnTick(true, mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_TRUE(mStore.mCalls < 40);
  CHECK_TRUE(mStore.mCalls > 4);
}

TEST(BalancerDirectory, InvalidEntriesAndItsOwnAreIgnored)
{
  mStore.mObjects["b/garbage"] = { "b/garbage", "?", 1 };
  mStore.mObjects["b/" + BalancerDirectory::NameOf(mSelf)] = { "", "", 2 };
  auto balancer = Make(mSelf);
  balancer->OnTick(true, mClock.Now());
  CHECK_TRUE(mFound.empty());
}
