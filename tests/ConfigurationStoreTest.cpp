#include "src/config/ConfigurationStore.h"

#include <string>

#include "src/config/ConfigurationParser.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

Configuration TwoServices()
{
  return *ParseConfiguration(R"({"data_centres": ["a"], "services": [
    {"name": "desk", "addresses": ["10.0.0.1:1"],
     "hosts": [{"name": "desk-1", "data_centre": "a"}]},
    {"name": "docs", "addresses": ["10.0.0.2:1"],
     "hosts": [{"name": "docs-1", "data_centre": "a"}]}]})",
                             0, "test")
            .value();
}

Service& Find(Configuration& aConfiguration, const char* aName)
{
  return aConfiguration.mServices.at(MakeServiceId(aName));
}

/** An operator with a connection of their own to the platform. */
struct Operator
{
  Operator(FakeObjectStore& aPlatform, const char* aName, std::uint64_t aSeed,
           ConfigurationStore::Options aOptions = {})
    : mName(aName)
    , mCalls(aPlatform, { .mPause = [](Duration) {} })
    , mStore(mCalls, WithSeed(std::move(aOptions), aSeed))
  {
  }

  static ConfigurationStore::Options WithSeed(
    ConfigurationStore::Options aOptions, std::uint64_t aSeed)
  {
    aOptions.mSeed = aSeed;
    aOptions.mWallClock = [] { return std::int64_t{ 1000 }; };
    return aOptions;
  }

  /** Has an edit of the newest version accepted. */
  template<typename Edit>
  Result<AcceptedChange> Change(Edit aEdit)
  {
    auto now = mStore.Read().value();
    auto wanted = std::make_shared<Configuration>(now ? *now->mConfiguration
                                                      : TwoServices());
    aEdit(*wanted);
    return mStore.Commit(
      { now ? now->mConfiguration : nullptr, wanted, mName, std::nullopt });
  }

  /** The configuration in force; its version 0 if there is none. */
  Configuration Now()
  {
    auto now = mStore.Read().value();
    return now ? *now->mConfiguration : Configuration{};
  }

  std::string mName;
  SyncObjectStore mCalls;
  ConfigurationStore mStore;
};

void Slots(Configuration& aConfiguration, const char* aService, int aSlots)
{
  Find(aConfiguration, aService).mSlotsPerHost =
    static_cast<std::uint16_t>(aSlots);
}

/** The edit that gives a service's hosts this many slots. */
auto SetSlots(const char* aService, int aSlots)
{
  return [=](Configuration& aConfiguration) {
    Slots(aConfiguration, aService, aSlots);
  };
}

} // namespace

TEST_GROUP(ConfigurationStore)
{
  FakeObjectStore mPlatform;

  void setup() override
  {
    Operator first(mPlatform, "first", 99);
    CHECK_TRUE(first.Change([](Configuration&) {}).has_value());
  }

  /** Runs aRival once, just before the next write of the head. */
  void Race(const std::function<void()>& aRival)
  {
    auto left = std::make_shared<int>(2);
    mPlatform.mBefore = [this, left, aRival](const std::string& aKey) {
      // The history entry is written right before the head.
      if (aKey.starts_with(config_keys::kHistory) && --*left == 1) {
        auto hook = std::exchange(mPlatform.mBefore, nullptr);
        aRival();
      }
    };
  }

  /** Gives the next writes of the head these faults. */
  void FailHead(std::vector<WriteFault> aFaults)
  {
    auto faults = std::make_shared<std::vector<WriteFault>>(std::move(aFaults));
    mPlatform.mOnWrite = [faults](const std::string& aKey) {
      if (aKey != config_keys::kHead || faults->empty()) {
        return WriteFault::None;
      }
      WriteFault fault = faults->front();
      faults->erase(faults->begin());
      return fault;
    };
  }

  bool EveryPartIsThere()
  {
    auto head = ParseHead(mPlatform.mObjects.at("config/head").mValue).value();
    for (const auto& it : head.mParts) {
      if (!mPlatform.mObjects.contains(config_keys::Part(it))) {
        return false;
      }
    }
    return true;
  }
};

// Two operators edit different services from the same version. The second to
// write finds the first one's version in force. Overwriting would undo the
// first edit without a word; refusing would send the operator back for nothing.
TEST(ConfigurationStore, EditsOfTwoServicesBothGoIn)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  Race([&] { ben.Change(SetSlots("docs", 9)); });
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.has_value());
  CHECK_TRUE(done->mRebased);
  auto now = ana.Now();
  LONGS_EQUAL(3, now.mVersion);
  LONGS_EQUAL(9, Find(now, "docs").mSlotsPerHost);
  LONGS_EQUAL(5, Find(now, "desk").mSlotsPerHost);
  CHECK_TRUE(EveryPartIsThere());
}

// Two operators edit the same service. The loser must learn what is in force
// now, who wrote it and when, and what to do; nothing of the loser's is left.
TEST(ConfigurationStore, EditsOfOneServiceConflictWithAClearError)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  Race([&] { ben.Change(SetSlots("desk", 9)); });
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_FALSE(done.has_value());
  CHECK_TRUE(done.error().mKind == ErrorKind::Conflict);
  STRCMP_EQUAL("not applied: version 2, written by ben at 1970-01-01 00:00:01 "
               "UTC, is in force now; both changed service desk; `get` the "
               "newer version, redo the change in it, and apply",
               done.error().Describe().c_str());
  auto now = ana.Now();
  LONGS_EQUAL(9, Find(now, "desk").mSlotsPerHost);
  LONGS_EQUAL(2, now.mVersion);
}

TEST(ConfigurationStore, TheSameEditByBothIsNoConflict)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  Race([&] { ben.Change(SetSlots("desk", 9)); });
  auto done = ana.Change(SetSlots("desk", 9));
  CHECK_TRUE(done.has_value());
  CHECK_TRUE(done->mUnchanged);
  LONGS_EQUAL(2, ana.Now().mVersion);
}

// Each edit is fine alone, but both give a service the same address. Merged
// blindly, packets of one service would reach the other.
TEST(ConfigurationStore, AMergeThatFailsTheCheckIsRefused)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  Address shared = TwoServices().mServices.begin()->second.mAddresses[0];
  shared.mPort = 77;
  auto add = [&](const char* aService) {
    return [=](Configuration& aConfiguration) {
      Find(aConfiguration, aService).mAddresses.push_back(shared);
    };
  };
  Race([&] { ben.Change(add("docs")); });
  auto done = ana.Change(add("desk"));
  CHECK_FALSE(done.has_value());
  STRCMP_CONTAINS("belongs to service", done.error().mMessage.c_str());
  LONGS_EQUAL(2, ana.Now().mVersion);
}

TEST(ConfigurationStore, IfVersionAcceptsNoOtherBase)
{
  Operator ana(mPlatform, "ana", 1);
  auto now = ana.mStore.Read().value();
  auto wanted = std::make_shared<Configuration>(*now->mConfiguration);
  Slots(*wanted, "desk", 5);
  auto done = ana.mStore.Commit(
    { now->mConfiguration, wanted, "ana", std::uint64_t{ 7 } });
  CHECK_FALSE(done.has_value());
  STRCMP_CONTAINS("--if-version 1", done.error().mRemedy.c_str());
}

// The platform takes a write and its answer is lost; the operator must learn
// that it was applied, once. The rows play what may have happened to the head's
// write; whichever it was, there is one new version, and it is told as applied.
TEST(ConfigurationStore, ALostAnswerIsSettledAndAppliedOnce)
{
  const std::vector<std::vector<WriteFault>> rows = {
    { WriteFault::LostAnswer },
    { WriteFault::Late },
    { WriteFault::LostRequest },
    { WriteFault::Refused },
    { WriteFault::LostRequest, WriteFault::LostAnswer },
    { WriteFault::Late, WriteFault::Late },
    { WriteFault::LostRequest, WriteFault::Refused, WriteFault::LostAnswer },
  };
  Operator ana(mPlatform, "ana", 1);
  std::uint64_t version = 1;
  for (const auto& it : rows) {
    FailHead(it);
    int slots = static_cast<int>(10 + version);
    auto done = ana.Change(SetSlots("desk", slots));
    CHECK_TRUE(done.has_value());
    auto now = ana.Now();
    LONGS_EQUAL(++version, now.mVersion);
    LONGS_EQUAL(slots, Find(now, "desk").mSlotsPerHost);
    CHECK_TRUE(EveryPartIsThere());
  }
}

// As above, but another operator's version replaces ours before we read back.
// The head's nonce is theirs, and only the history shows that ours went in.
TEST(ConfigurationStore, ALostAnswerIsSettledAfterASuccessor)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  FailHead({ WriteFault::LostAnswer });
  bool raced = false;
  mPlatform.mBefore = [&](const std::string& aKey) {
    bool written = mPlatform.mObjects.at("config/head").mVersion > 3;
    if (aKey == config_keys::kHead && written && !raced &&
        ParseHead(mPlatform.mObjects.at("config/head").mValue)->mVersion == 2) {
      raced = true;
      ben.Change(SetSlots("docs", 9));
    }
  };
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(raced);
  CHECK_TRUE(done.has_value());
  LONGS_EQUAL(2, done->mStored.mHead.mVersion);
  LONGS_EQUAL(3, ana.Now().mVersion);
}

// The guard off: the lost answer is taken for a lost race, and the loser's
// parts are removed while they are in force.
TEST(ConfigurationStore, WithoutSettlingALostAnswerBreaksTheVersionInForce)
{
  ConfigurationStore::Options options;
  options.mSettleLostAnswers = false;
  Operator ana(mPlatform, "ana", 1, options);
  FailHead({ WriteFault::LostAnswer });
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_FALSE(done.has_value());
  CHECK_FALSE(EveryPartIsThere());
}

TEST(ConfigurationStore, SaysSoWhenTheOutcomeStaysUnknown)
{
  Operator ana(mPlatform, "ana", 1);
  FailHead(std::vector<WriteFault>(50, WriteFault::LostRequest));
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.error().mKind == ErrorKind::Timeout);
  FailHead(std::vector<WriteFault>(50, WriteFault::Refused));
  done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.error().mKind == ErrorKind::Unavailable);
  LONGS_EQUAL(1, ana.Now().mVersion);
}

// A replica that lags serves the head before the newest. An operator who has
// seen version 2 must not be shown version 1 again.
TEST(ConfigurationStore, AStaleReadIsNotTaken)
{
  for (bool guard : { true, false }) {
    ConfigurationStore::Options options;
    options.mRefuseStaleReads = guard;
    Operator ana(mPlatform, "ana", guard ? 1 : 2, options);
    ana.Change(SetSlots("desk", guard ? 5 : 6));
    auto newest = ana.Now().mVersion;
    mPlatform.mStaleReads = 2;
    LONGS_EQUAL(guard ? newest : newest - 1, ana.Now().mVersion);
    mPlatform.mStaleReads = 0;
  }
}

// Many versions, some by writers that died before they replaced the head: what
// no kept version needs goes away, and each kept version reads whole.
TEST(ConfigurationStore, GarbageGoesAndKeptVersionsReadWhole)
{
  ConfigurationStore::Options options;
  options.mHistory = 8;
  Operator ana(mPlatform, "ana", 1, options);
  for (int i = 0; i < 80; ++i) {
    if (i % 10 == 3) {
      FailHead(std::vector<WriteFault>(50, WriteFault::Refused));
      CHECK_FALSE(ana.Change(SetSlots("desk", 999)));
      FailHead({});
    }
    CHECK_TRUE(ana.Change(SetSlots("desk", 3 + i)));
  }
  auto newest = ana.Now().mVersion;
  LONGS_EQUAL(81, newest);
  for (auto version = newest - 8; version < newest; ++version) {
    CHECK_TRUE(ana.mStore.ReadVersion(version).has_value());
  }
  CHECK_FALSE(ana.mStore.ReadVersion(newest - 9).has_value());
  // Head, 8 of history, one general part and 9 service parts, and the orphans
  // since version 64.
  CHECK_TRUE(mPlatform.mObjects.size() <= 1 + 8 + 1 + 9 + 2);
}
