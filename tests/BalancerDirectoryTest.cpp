#include "src/passthrough/BalancerDirectory.h"

#include "src/net/Endpoint.h"
#include "src/passthrough/DirectorySelection.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

using Situation = BalancerDirectory::Situation;

constexpr Situation kAlone{ .mHasNoPeers = true };
constexpr Situation kWithPeers{};

Situation WithEntry(std::uint64_t aStoreEra = 0)
{
  return { .mHasEntry = true, .mStoreEra = aStoreEra };
}

} // namespace

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
  balancer->OnTick(WithEntry(), mClock.Now());
  auto agent = Make(std::nullopt);
  agent->OnTick(kWithPeers, mClock.Now());
  CHECK_TRUE(mFound.empty());
  agent->OnTick(kAlone, mClock.Now());
  CHECK_EQUAL(1, mFound.size());
  CHECK_TRUE(mFound[0] == mOther);
}

// Guards against a balancer that nobody finds: its entry was written after the
// copy that the store was restored from.
TEST(BalancerDirectory, RegistersOnceAndAgainInALaterEraOfTheStore)
{
  mStore.mEra = 1;
  auto balancer = Make(mSelf);
  for (int i = 0; i < 100; ++i) {
    balancer->OnTick(WithEntry(1), mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_EQUAL(1, mStore.mCalls);
  mStore.mObjects.clear();
  mStore.mEra = 2;
  Time restoredAt = mClock.Now();
  while (mStore.mObjects.empty() && mClock.Now() - restoredAt < 10s) {
    balancer->OnTick(WithEntry(2), mClock.Now());
    mClock.Advance(50ms);
  }
  CHECK_TRUE(mClock.Now() - restoredAt <= 2s);
  for (int i = 0; i < 100; ++i) {
    balancer->OnTick(WithEntry(2), mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_EQUAL(2, mStore.mCalls);
  balancer->Leave();
  CHECK_EQUAL(0, mStore.mObjects.size());
}

// Guards against a write burst at the store's return from a copy.
TEST(BalancerDirectory, BalancersRegisterAgainAtDifferentTimes)
{
  std::vector<std::shared_ptr<BalancerDirectory>> balancers;
  for (std::uint16_t i = 1; i <= 300; ++i) {
    Address self = mSelf;
    self.mPort = i;
    balancers.push_back(BalancerDirectory::Make(
      mStore, { "b", self, i }, [](const std::vector<Address>&) {}));
    balancers.back()->OnTick(WithEntry(), mClock.Now());
  }
  mStore.mEra = 1;
  int most = 0;
  for (int tick = 0; tick < 40; ++tick) {
    int before = mStore.mCalls;
    for (auto& it : balancers) {
      it->OnTick(WithEntry(1), mClock.Now());
    }
    most = std::max(most, mStore.mCalls - before);
    mClock.Advance(50ms);
  }
  CHECK_EQUAL(600, mStore.mCalls);
  CHECK_TRUE(most <= 30);
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
    balancer->OnTick(WithEntry(), mClock.Now());
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
    agent->OnTick(kAlone, mClock.Now());
    mClock.Advance(100ms);
  }
  CHECK_TRUE(mStore.mCalls < 40);
  CHECK_TRUE(mStore.mCalls > 4);
}

TEST(BalancerDirectory, InvalidEntriesAndItsOwnAreIgnored)
{
  mStore.mObjects["b/garbage"] = { "b/garbage", "?", { 1 } };
  mStore.mObjects["b/" + BalancerDirectory::NameOf(mSelf)] = { "", "", { 2 } };
  auto balancer = Make(mSelf);
  balancer->OnTick(kAlone, mClock.Now());
  CHECK_TRUE(mFound.empty());
}

// Guards against a fleet that writes as many entries as it has balancers: few
// of each data centre suffice, and another takes over from one that left.
TEST(BalancerDirectory, FewBalancersOfEachDataCentreHaveAnEntry)
{
  std::vector<Member> balancers;
  for (int i = 0; i < 300; ++i) {
    Member it;
    it.mHost = MakeHostId("balancer-" + std::to_string(i));
    it.mDataCentre = MakeDataCentreId("dc-" + std::to_string(i % 5));
    balancers.push_back(it);
  }
  auto entries = [](const std::vector<Member>& aBalancers) {
    return std::ranges::count_if(aBalancers, [&](const Member& aIt) {
      return HasDirectoryEntry(aIt, aBalancers);
    });
  };
  CHECK_EQUAL(5 * kDirectoryEntriesPerDataCentre, entries(balancers));
  std::erase_if(balancers, [&, all = balancers](const Member& aIt) {
    return HasDirectoryEntry(aIt, all);
  });
  CHECK_EQUAL(5 * kDirectoryEntriesPerDataCentre, entries(balancers));
  balancers.resize(2);
  CHECK_EQUAL(2, entries(balancers));
}

TEST(BalancerDirectory, ABalancerWithoutAnEntryWritesOneIfItHasNoPeers)
{
  auto balancer = Make(mSelf);
  balancer->OnTick(kWithPeers, mClock.Now());
  CHECK_EQUAL(0, mStore.mCalls);
  balancer->OnTick(kAlone, mClock.Now());
  CHECK_EQUAL(1, mStore.mObjects.size());
}
