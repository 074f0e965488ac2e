#include <algorithm>
#include <variant>

#include "src/record/PlatformGate.h"
#include "src/record/RunOnce.h"
#include "src/record/ShardWriter.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

ShardChange Claim(Nonce aNonce)
{
  return { ChangeKind::Claim, { { 1 }, 1, aNonce, false, std::nullopt } };
}

ShardChange Answer(Nonce aNonce)
{
  return { ChangeKind::Answer, { { 1 }, 1, aNonce, true, "yes" } };
}

} // namespace

TEST_GROUP(ShardWriter)
{
  ManualClock mClock;
  ShardWriterOptions mOptions;
  std::string mValue;
  std::uint64_t mVersion = 0;

  /** Lets a writer do all that is due on a platform without faults. */
  std::vector<ShardOutcome> Settle(ShardWriter & aWriter)
  {
    std::vector<ShardOutcome> out = aWriter.Review(mClock.Now());
    while (aWriter.IsDue(mClock.Now())) {
      ShardCall call = aWriter.Start(mClock.Now());
      std::vector<ShardOutcome> some;
      if (call.mIsWrite) {
        mValue = call.mValue;
        some = aWriter.OnPut(++mVersion, mClock.Now());
      } else if (mVersion == 0) {
        some = aWriter.OnGet(Fail(ErrorKind::NotFound, "", ""), mClock.Now());
      } else {
        some = aWriter.OnGet(Object{ "", mValue, mVersion }, mClock.Now());
      }
      out.insert(out.end(), some.begin(), some.end());
    }
    return out;
  }
};

TEST(ShardWriter, ManyClaimsShareOneWrite)
{
  ShardWriter writer(mOptions);
  for (Nonce i = 1; i <= 100; ++i) {
    writer.Want("key-" + std::to_string(i), Claim(i));
  }
  CHECK_EQUAL(100, Settle(writer).size());
  CHECK_EQUAL(1, mVersion);
  writer.ReleaseIfIdle(mClock.Now());
  CHECK_TRUE(writer.HoldsContent());
  mClock.Advance(1min);
  writer.ReleaseIfIdle(mClock.Now());
  CHECK_FALSE(writer.HoldsContent());
  writer.Want("key-1", Claim(200));
  CHECK_TRUE(Settle(writer).front().mResult == ChangeResult::Taken);
}

// The write's call times out, and lands after the writer has read the object
// back without it. Taken for undone there, a withdrawn claim would leave its
// grant behind for ever; so one more write moves the version on.
TEST(ShardWriter, AWithdrawnClaimThatMayStillLandIsFenced)
{
  ShardWriter writer(mOptions);
  writer.Want("key", Claim(1));
  Time now = mClock.Now();
  writer.Start(now);
  writer.OnGet(Fail(ErrorKind::NotFound, "", ""), now);
  CHECK_TRUE(writer.Start(now).mIsWrite);
  writer.OnPut(Fail(ErrorKind::Timeout, "", ""), now);
  writer.GiveUp("key", Claim(1).mGrant, now);
  std::vector<ShardOutcome> out = Settle(writer);
  CHECK_EQUAL(1, mVersion);
  CHECK_TRUE(GrantShard::Decode(mValue)->Find("key") == nullptr);
  CHECK_EQUAL(0, writer.Waiting());
}

// A claim is lodged again after the retention of its grant. Its record is gone,
// but its hash is still there: it must not run again as if it were new.
TEST(ShardWriter, AKeyOlderThanItsRecordHasFadedAndThenIsForgotten)
{
  ShardWriter writer(mOptions);
  writer.Want("key", Claim(1));
  Settle(writer);
  writer.Want("key", Answer(1));
  Settle(writer);
  for (Nonce i = 10; i < 13; ++i) {
    CHECK_TRUE(Settle(writer).empty());
    mClock.Advance(25h);
    writer.Want("other-" + std::to_string(i), Claim(i));
    Settle(writer);
    writer.Want("key", Claim(i + 10));
    ChangeResult result = Settle(writer).front().mResult;
    ChangeResult wanted = i == 10   ? ChangeResult::Taken
                          : i == 11 ? ChangeResult::Faded
                                    : ChangeResult::Committed;
    CHECK_TRUE(result == wanted);
  }
}

// Claims pile up in one shard until the object is near the platform's limit.
// New ones must be refused, and run again once a generation has passed; at no
// time may the value outgrow the limit, its answers included.
TEST(ShardWriter, AFullShardRefusesAndRecovers)
{
  ShardWriter writer(mOptions);
  std::string answer(1200, 'a');
  ChangeResult last = ChangeResult::Committed;
  Nonce n = 0;
  while (last == ChangeResult::Committed) {
    for (int i = 0; i < 400; ++i) {
      std::string key = "a-key-of-some-length-" + std::to_string(++n);
      writer.Want(key, Claim(n));
    }
    last = Settle(writer).back().mResult;
    CHECK_TRUE(mValue.size() <= ObjectStore::kMaxObjectSize);
  }
  CHECK_TRUE(last == ChangeResult::Full);
  for (Nonce i = 1; i <= n; ++i) {
    ShardChange change = Answer(i);
    change.mGrant.mAnswer = answer;
    writer.Want("a-key-of-some-length-" + std::to_string(i), change);
  }
  Settle(writer);
  CHECK_TRUE(mValue.size() <= ObjectStore::kMaxObjectSize);
  mClock.Advance(25h);
  writer.Want("one-more", Claim(++n));
  CHECK_TRUE(Settle(writer).back().mResult == ChangeResult::Committed);
  mClock.Advance(25h);
  writer.Want("and-more", Claim(++n));
  CHECK_TRUE(Settle(writer).back().mResult == ChangeResult::Committed);
  CHECK_TRUE(mValue.size() < 400000);
}

// The platform comes back after an outage, and all agents call it at once. An
// open breaker lets one probe through at a time, at moments that differ.
TEST(ShardWriter, ABreakerProbesOneAtATimeAndApart)
{
  std::vector<Duration> probes;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PlatformGate gate({}, seed);
    Time now = mClock.Now();
    for (int i = 0; i < 3; ++i) {
      gate.OnFailure(now);
    }
    CHECK_TRUE(gate.Refuses(now));
    Time start = now;
    while (!gate.Admit(true, now)) {
      now += 1ms;
    }
    probes.push_back(now - start);
    CHECK_FALSE(gate.Admit(true, now));
    CHECK_TRUE(gate.RetryAfter(now) > Duration{});
    gate.OnAnswer(5ms, now);
    CHECK_FALSE(gate.Refuses(now));
  }
  auto [first, last] = std::ranges::minmax(probes);
  CHECK_TRUE(last - first > 50ms);
}

// A holder is frozen between grant and dispatch for longer than grants are
// kept. Its key has faded and been forgotten, and another agent runs it. The
// holder wakes with its dispatch at the head of its queue, and must refuse it.
TEST(ShardWriter, AHolderThatSleptPastTheRetentionDispatchesNothing)
{
  for (bool guard : { false, true }) {
    RunOnceOptions options;
    options.mCheckBeforeDispatch = guard;
    RunOnce holder({ 1 }, 1, options, 1, mClock.Now());
    holder.Request(7, "key", mClock.Now() + 1s, mClock.Now());
    auto call = std::get<StoreCall>(holder.TakeActions().front());
    holder.OnGet(call.mTicket, Fail(ErrorKind::NotFound, "", ""), mClock.Now());
    call = std::get<StoreCall>(holder.TakeActions().front());
    holder.OnPut(call.mTicket, std::uint64_t{ 1 }, mClock.Now());
    auto granted = std::get<Granted>(holder.TakeActions().front());
    mClock.Advance(96h);
    bool may = holder.MayDispatch("key", granted.mNonce, mClock.Now());
    CHECK_EQUAL(!guard, may);
  }
}
