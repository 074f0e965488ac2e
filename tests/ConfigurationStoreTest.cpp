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

/** An operator with a separate connection to the platform. */
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

  /** Commits an edit of the newest version. */
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

  /** Reads the configuration in force; version 0 if there is none. */
  Configuration Now()
  {
    auto now = mStore.Read().value();
    return now ? *now->mConfiguration : Configuration{};
  }

  std::string mName;
  SyncObjectStore mCalls;
  ConfigurationStore mStore;
};

void ApplySlots(Configuration& aConfiguration, const char* aService, int aSlots)
{
  Find(aConfiguration, aService).mSlotsPerHost =
    static_cast<std::uint16_t>(aSlots);
}

/** Returns an edit that sets a service's slots per host. */
auto SetSlots(const char* aService, int aSlots)
{
  return [=](Configuration& aConfiguration) {
    ApplySlots(aConfiguration, aService, aSlots);
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

  /** Runs aRival once, before the next write of the head. */
  void RaceWith(const std::function<void()>& aRival)
  {
    auto left = std::make_shared<int>(2);
    mPlatform.mBefore = [this, left, aRival](const std::string& aKey) {
      // The history entry is the last write before the head.
      if (aKey.starts_with(config_keys::kHistory) && --*left == 1) {
        auto hook = std::exchange(mPlatform.mBefore, nullptr);
        aRival();
      }
    };
  }

  /** Makes the next writes of the head fail with these faults, in order. */
  void FailHeadWrites(std::vector<WriteFault> aFaults)
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

  bool HasAllParts()
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

// Two operators edit different services of the same version. Overwriting would
// silently undo the edit that was written first, and refusing the second edit
// would be needless, since the two can be merged.
TEST(ConfigurationStore, ConcurrentEditsOfTwoServicesAreMerged)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  RaceWith([&] { ben.Change(SetSlots("docs", 9)); });
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.has_value());
  CHECK_TRUE(done->mMerged);
  auto now = ana.Now();
  LONGS_EQUAL(3, now.mVersion);
  LONGS_EQUAL(9, Find(now, "docs").mSlotsPerHost);
  LONGS_EQUAL(5, Find(now, "desk").mSlotsPerHost);
  CHECK_TRUE(HasAllParts());
}

// Two operators edit the same service. The error must name the version in
// force, its author and time, and the remedy; nothing of the second edit is
// applied.
TEST(ConfigurationStore, ConcurrentEditsOfOneServiceConflict)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  RaceWith([&] { ben.Change(SetSlots("desk", 9)); });
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

TEST(ConfigurationStore, IdenticalConcurrentEditsDoNotConflict)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  RaceWith([&] { ben.Change(SetSlots("desk", 9)); });
  auto done = ana.Change(SetSlots("desk", 9));
  CHECK_TRUE(done.has_value());
  CHECK_TRUE(done->mUnchanged);
  LONGS_EQUAL(2, ana.Now().mVersion);
}

// Each edit is valid alone, but together they give two services the same
// address. If merged without validation, packets of one would reach the other.
TEST(ConfigurationStore, InvalidMergeIsRefused)
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
  RaceWith([&] { ben.Change(add("docs")); });
  auto done = ana.Change(add("desk"));
  CHECK_FALSE(done.has_value());
  STRCMP_CONTAINS("belongs to service", done.error().mMessage.c_str());
  LONGS_EQUAL(2, ana.Now().mVersion);
}

TEST(ConfigurationStore, IfVersionRefusesOtherBase)
{
  Operator ana(mPlatform, "ana", 1);
  auto now = ana.mStore.Read().value();
  auto wanted = std::make_shared<Configuration>(*now->mConfiguration);
  ApplySlots(*wanted, "desk", 5);
  auto done = ana.mStore.Commit(
    { now->mConfiguration, wanted, "ana", std::uint64_t{ 7 } });
  CHECK_FALSE(done.has_value());
  STRCMP_CONTAINS("--if-version 1", done.error().mRemedy.c_str());
}

// The answer to the write of the head is lost, and the write may have been
// applied, delayed or lost. In each row the change must be reported as accepted
// and result in exactly one new version.
TEST(ConfigurationStore, LostAnswerIsResolvedAndChangeAppliedOnce)
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
    FailHeadWrites(it);
    int slots = static_cast<int>(10 + version);
    auto done = ana.Change(SetSlots("desk", slots));
    CHECK_TRUE(done.has_value());
    auto now = ana.Now();
    LONGS_EQUAL(++version, now.mVersion);
    LONGS_EQUAL(slots, Find(now, "desk").mSlotsPerHost);
    CHECK_TRUE(HasAllParts());
  }
}

// As above, but another operator's version replaces the head before it is read
// back. The head then has the other nonce, and only the history shows that the
// write was accepted.
TEST(ConfigurationStore, LostAnswerIsResolvedFromHistory)
{
  Operator ana(mPlatform, "ana", 1);
  Operator ben(mPlatform, "ben", 2);
  FailHeadWrites({ WriteFault::LostAnswer });
  bool raced = false;
  mPlatform.mBefore = [&](const std::string& aKey) {
    bool written = mPlatform.mObjects.at("config/head").mVersion.mRevision > 3;
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

// Without the guard a lost answer is treated as a lost race, and the parts of
// the version in force are removed.
TEST(ConfigurationStore, WithoutReadBackLostAnswerRemovesPartsInForce)
{
  ConfigurationStore::Options options;
  options.mResolveLostAnswers = false;
  Operator ana(mPlatform, "ana", 1, options);
  FailHeadWrites({ WriteFault::LostAnswer });
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_FALSE(done.has_value());
  CHECK_FALSE(HasAllParts());
}

TEST(ConfigurationStore, ReportsUnknownOutcomeAsTimeout)
{
  Operator ana(mPlatform, "ana", 1);
  FailHeadWrites(std::vector<WriteFault>(50, WriteFault::LostRequest));
  auto done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.error().mKind == ErrorKind::Timeout);
  FailHeadWrites(std::vector<WriteFault>(50, WriteFault::Refused));
  done = ana.Change(SetSlots("desk", 5));
  CHECK_TRUE(done.error().mKind == ErrorKind::Unavailable);
  LONGS_EQUAL(1, ana.Now().mVersion);
}

// A lagging replica returns the head before the newest. An operator who has
// read version 2 must not get version 1 from a later read.
TEST(ConfigurationStore, StaleReadIsRefused)
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

// Some of many versions come from writers that died before they replaced the
// head. Objects that no retained version needs are removed, and each retained
// version can still be read.
TEST(ConfigurationStore, GarbageIsRemovedAndRetainedVersionsStayReadable)
{
  ConfigurationStore::Options options;
  options.mHistoryLength = 8;
  Operator ana(mPlatform, "ana", 1, options);
  for (int i = 0; i < 80; ++i) {
    if (i % 10 == 3) {
      FailHeadWrites(std::vector<WriteFault>(50, WriteFault::Refused));
      CHECK_FALSE(ana.Change(SetSlots("desk", 999)));
      FailHeadWrites({});
    }
    CHECK_TRUE(ana.Change(SetSlots("desk", 3 + i)));
  }
  auto newest = ana.Now().mVersion;
  LONGS_EQUAL(81, newest);
  for (auto version = newest - 8; version < newest; ++version) {
    CHECK_TRUE(ana.mStore.ReadVersion(version).has_value());
  }
  CHECK_FALSE(ana.mStore.ReadVersion(newest - 9).has_value());
  // The head, 8 history entries, one general part, one service part for each of
  // the 9 versions, and the orphans since the scan at version 64.
  CHECK_TRUE(mPlatform.mObjects.size() <= 1 + 8 + 1 + 9 + 2);
}
