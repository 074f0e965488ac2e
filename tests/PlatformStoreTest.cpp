#include "platform/PlatformStore.h"

#include <optional>

#include <boost/asio/io_context.hpp>

#include "lab/soak/StoreStandIn.h"
#include "src/net/Endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

/** Writes the answer of a call into a place; nothing until it came. */
template<typename T>
auto Into(std::optional<Result<T>>& aPlace)
{
  return [&aPlace](Result<T> aResult) { aPlace = std::move(aResult); };
}

} // namespace

TEST_GROUP(PlatformStore)
{
  boost::asio::io_context mContext;
  lab::StoreStandIn mStandIn{ mContext.get_executor() };
  std::unique_ptr<PlatformStore> mStore;
  std::optional<Result<Object>> mGot;
  std::optional<Result<std::optional<Object>>> mWatched;
  std::optional<Result<std::uint64_t>> mWritten;

  void setup() override
  {
    mStandIn.Listen(*ParseAddress("127.0.0.1:0"));
    mStore = std::make_unique<PlatformStore>(mContext.get_executor(),
                                             mStandIn.Local());
    mStandIn.Write("config", "main", { { "Version", 7 } });
  }

  void Play(Duration aFor = 200ms)
  {
    mContext.run_for(aFor);
  }

  std::uint64_t Version()
  {
    mStore->Get("config/main", Into(mGot));
    Play();
    return (*mGot)->mVersion;
  }

  ErrorKind KindOfGet()
  {
    mGot.reset();
    mStore->Get("config/main", Into(mGot));
    Play(2000ms);
    CHECK_TRUE(mGot.has_value());
    CHECK_FALSE(mGot->has_value());
    return mGot->error().mKind;
  }
};

TEST(PlatformStore, ReadsAnObjectsSpecAndRevision)
{
  CHECK_TRUE(Version() > 0);
  STRCMP_EQUAL(R"({"Version":7})", (*mGot)->mValue.c_str());
  mStore->Get("config/none", Into(mGot));
  Play();
  CHECK(mGot->error().mKind == ErrorKind::NotFound);
}

TEST(PlatformStore, HearsOfAChangeAndGoesOnFromThere)
{
  std::uint64_t version = Version();
  mStore->Watch("config/main", version, 2s, Into(mWatched));
  Play();
  CHECK_FALSE(mWatched.has_value());
  mStandIn.Write("config", "other", 1);
  Play();
  // An object beside it changed: nothing new of this one.
  CHECK_FALSE((*mWatched)->has_value());
  mWatched.reset();
  mStore->Watch("config/main", version, 2s, Into(mWatched));
  mStandIn.Write("config", "main", { { "Version", 9 } });
  Play();
  STRCMP_EQUAL(R"({"Version":9})", (**mWatched)->mValue.c_str());
}

TEST(PlatformStore, AWatchEndsEmptyWhenItsTimeIsUp)
{
  mStore->Watch("config/main", Version(), 100ms, Into(mWatched));
  Play(500ms);
  CHECK_TRUE(mWatched->has_value());
  CHECK_FALSE((*mWatched)->has_value());
}

// The store dropped its history while a balancer was cut off, and a change was
// among it. The balancer must see the change, not wait for the next one.
TEST(PlatformStore, AForgottenHistoryIsMadeGoodByAList)
{
  std::uint64_t version = Version();
  mStandIn.Write("config", "main", { { "Version", 9 } });
  mStandIn.Compact();
  mStore->Watch("config/main", version, 2s, Into(mWatched));
  Play();
  STRCMP_EQUAL(R"({"Version":9})", (**mWatched)->mValue.c_str());
  // Without a change it waits on from where the list was made.
  mWatched.reset();
  mStore->Watch("config/main", (**mGot).mVersion + 1000, 100ms, Into(mWatched));
  Play(400ms);
  CHECK_TRUE(mWatched->has_value());
}

TEST(PlatformStore, TellsRefusalsFromUnknownOutcomes)
{
  mStandIn.SetFaults({ .mBusy = true });
  CHECK(KindOfGet() == ErrorKind::Unavailable);
  mStandIn.SetFaults({ .mMany = true });
  CHECK(KindOfGet() == ErrorKind::Unavailable);
  mStandIn.SetFaults({ .mSilent = true });
  CHECK(KindOfGet() == ErrorKind::Timeout);
  mStandIn.SetFaults({});
  CHECK_TRUE(Version() > 0);
}

TEST(PlatformStore, WritesUnderConditions)
{
  mStore->Put("mine/a", R"({"x":1})", WriteCondition::IfAbsent(),
              Into(mWritten));
  Play();
  CHECK_TRUE(mWritten->has_value());
  std::uint64_t version = **mWritten;
  mStore->Put("mine/a", R"({"x":2})", WriteCondition::IfAbsent(),
              Into(mWritten));
  Play();
  CHECK(mWritten->error().mKind == ErrorKind::Conflict);
  mStore->Put("mine/a", R"({"x":2})", WriteCondition::IfVersion(version - 1),
              Into(mWritten));
  Play();
  CHECK(mWritten->error().mKind == ErrorKind::Conflict);
  mStore->Put("mine/a", R"({"x":2})", WriteCondition::IfVersion(version),
              Into(mWritten));
  Play();
  CHECK_TRUE(**mWritten > version);
  std::optional<Result<std::vector<ObjectName>>> listed;
  mStore->List("mine/", Into(listed));
  Play();
  CHECK_EQUAL(1, (*listed)->size());
  STRCMP_EQUAL("mine/a", (**listed)[0].mKey.c_str());
  mStore->Delete("mine/a", WriteCondition::Always(), Into(mWritten));
  Play();
  CHECK_TRUE(mWritten->has_value());
}

TEST(PlatformStore, ReadsAListOfSeveralPages)
{
  for (int i = 0; i < 23; ++i) {
    mStandIn.Write("many", "n" + std::to_string(100 + i), 1);
  }
  std::optional<Result<std::vector<ObjectName>>> listed;
  mStore->List("many/", Into(listed));
  Play();
  CHECK_EQUAL(23, (*listed)->size());
  STRCMP_EQUAL("many/n122", (**listed)[22].mKey.c_str());
}

// The answer to a write was lost, though it took effect. It must not be told
// as a refusal.
TEST(PlatformStore, ALostAnswerIsAnUnknownOutcome)
{
  mStandIn.SetFaults({ .mLosesAnswers = true });
  mStore->Put("mine/a", "{}", WriteCondition::IfAbsent(), Into(mWritten));
  Play(2000ms);
  CHECK(mWritten->error().mKind == ErrorKind::Timeout);
  mStandIn.SetFaults({});
  mStore->Get("mine/a", Into(mGot));
  Play();
  CHECK_TRUE(mGot->has_value());
}

// Guards against an order at the store that a change beside it hides, or that a
// forgotten history swallows.
TEST(PlatformStore, WatchesTheNamesOfAKind)
{
  std::optional<Result<NameChange>> names;
  mStore->WatchNames("drains/", 0, 0ms, Into(names));
  Play();
  CHECK_TRUE((*names)->mNames->empty());
  std::uint64_t asOf = (*names)->mAsOf;
  CHECK_TRUE(asOf > 0);
  names.reset();
  mStore->WatchNames("drains/", asOf, 1s, Into(names));
  Play();
  CHECK_FALSE(names.has_value());
  mStandIn.Write("drains", "a", boost::json::object{});
  Play();
  CHECK_EQUAL(1, (*names)->mNames->size());
  STRCMP_EQUAL("a", (*names)->mNames->front().c_str());
  asOf = (*names)->mAsOf;
  mStandIn.Write("drains", "b", boost::json::object{});
  mStandIn.Compact();
  names.reset();
  mStore->WatchNames("drains/", asOf, 1s, Into(names));
  Play();
  CHECK_EQUAL(2, (*names)->mNames->size());
}
