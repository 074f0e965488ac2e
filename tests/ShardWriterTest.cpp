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

  /** Performs all due calls of a writer on a platform without faults. */
  std::vector<ShardOutcome> RunToCompletion(ShardWriter & aWriter)
  {
    std::vector<ShardOutcome> out = aWriter.SettleFromContent(mClock.Now());
    while (aWriter.IsDue(mClock.Now())) {
      ShardCall call = aWriter.Start(mClock.Now());
      std::vector<ShardOutcome> settled;
      if (call.mIsWrite) {
        mValue = call.mValue;
        settled = aWriter.OnPut(StoreVersion{ ++mVersion }, mClock.Now());
      } else if (mVersion == 0) {
        settled =
          aWriter.OnGet(Fail(ErrorKind::NotFound, "", ""), mClock.Now());
      } else {
        settled =
          aWriter.OnGet(Object{ "", mValue, { mVersion } }, mClock.Now());
      }
      out.insert(out.end(), settled.begin(), settled.end());
    }
    return out;
  }
};

TEST(ShardWriter, PendingClaimsShareOneWrite)
{
  ShardWriter writer(mOptions);
  for (Nonce i = 1; i <= 100; ++i) {
    writer.Enqueue("key-" + std::to_string(i), Claim(i));
  }
  CHECK_EQUAL(100, RunToCompletion(writer).size());
  CHECK_EQUAL(1, mVersion);
  writer.ReleaseIfIdle(mClock.Now());
  CHECK_TRUE(writer.HoldsContent());
  mClock.Advance(1min);
  writer.ReleaseIfIdle(mClock.Now());
  CHECK_FALSE(writer.HoldsContent());
  writer.Enqueue("key-1", Claim(200));
  CHECK_TRUE(RunToCompletion(writer).front().mResult == ChangeResult::Taken);
}

// A claim's write times out, and is committed after the writer has read the
// object without the grant. If the writer then assumed that the claim had
// failed, the grant would remain for ever. One more write changes the version,
// so that the late write fails.
TEST(ShardWriter, WithdrawalFencesWriteInDoubt)
{
  ShardWriter writer(mOptions);
  writer.Enqueue("key", Claim(1));
  Time now = mClock.Now();
  writer.Start(now);
  writer.OnGet(Fail(ErrorKind::NotFound, "", ""), now);
  CHECK_TRUE(writer.Start(now).mIsWrite);
  writer.OnPut(Fail(ErrorKind::Timeout, "", ""), now);
  writer.GiveUp("key", Claim(1).mGrant, now);
  std::vector<ShardOutcome> out = RunToCompletion(writer);
  CHECK_EQUAL(1, mVersion);
  CHECK_TRUE(GrantShard::Decode(mValue)->Find("key") == nullptr);
  CHECK_EQUAL(0, writer.PendingCount());
}

// A key is claimed again after its grant has expired to a hash. The claim must
// fail as Expired until the hash is discarded too, or the key would run twice.
TEST(ShardWriter, ClaimOfExpiredKeyFailsUntilItsHashIsDiscarded)
{
  ShardWriter writer(mOptions);
  writer.Enqueue("key", Claim(1));
  RunToCompletion(writer);
  writer.Enqueue("key", Answer(1));
  RunToCompletion(writer);
  for (Nonce i = 10; i < 13; ++i) {
    CHECK_TRUE(RunToCompletion(writer).empty());
    mClock.Advance(25h);
    writer.Enqueue("other-" + std::to_string(i), Claim(i));
    RunToCompletion(writer);
    writer.Enqueue("key", Claim(i + 10));
    ChangeResult result = RunToCompletion(writer).front().mResult;
    ChangeResult expected = i == 10   ? ChangeResult::Taken
                            : i == 11 ? ChangeResult::Expired
                                      : ChangeResult::Committed;
    CHECK_TRUE(result == expected);
  }
}

// Claims accumulate in one shard until the object is near the platform's size
// limit. New claims must be refused until a generation has passed, and the
// value, including answers, must never exceed the limit.
TEST(ShardWriter, FullShardRefusesClaimsUntilRotation)
{
  ShardWriter writer(mOptions);
  std::string answer(1200, 'a');
  ChangeResult last = ChangeResult::Committed;
  Nonce n = 0;
  while (last == ChangeResult::Committed) {
    for (int i = 0; i < 400; ++i) {
      std::string key = "a-key-of-some-length-" + std::to_string(++n);
      writer.Enqueue(key, Claim(n));
    }
    last = RunToCompletion(writer).back().mResult;
    CHECK_TRUE(mValue.size() <= ObjectStore::kMaxObjectSize);
  }
  CHECK_TRUE(last == ChangeResult::Full);
  for (Nonce i = 1; i <= n; ++i) {
    ShardChange change = Answer(i);
    change.mGrant.mAnswer = answer;
    writer.Enqueue("a-key-of-some-length-" + std::to_string(i), change);
  }
  RunToCompletion(writer);
  CHECK_TRUE(mValue.size() <= ObjectStore::kMaxObjectSize);
  mClock.Advance(25h);
  writer.Enqueue("one-more", Claim(++n));
  CHECK_TRUE(RunToCompletion(writer).back().mResult == ChangeResult::Committed);
  mClock.Advance(25h);
  writer.Enqueue("and-more", Claim(++n));
  CHECK_TRUE(RunToCompletion(writer).back().mResult == ChangeResult::Committed);
  CHECK_TRUE(mValue.size() < 400000);
}

// The platform recovers from an outage, and all agents call it at once. An open
// breaker must admit one probe at a time, at times that differ between agents.
TEST(ShardWriter, OpenBreakerAdmitsSingleProbesWithJitter)
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

// A holder is stalled between grant and dispatch for longer than the retention
// of grants. Its grant has expired, and another agent may run the key. When the
// holder resumes, it must refuse the dispatch.
TEST(ShardWriter, HolderStalledPastRetentionDoesNotDispatch)
{
  for (bool checksDeadline : { false, true }) {
    RunOnceOptions options;
    options.mCheckBeforeDispatch = checksDeadline;
    RunOnce holder({ 1 }, 1, options, 1, mClock.Now());
    holder.Request(7, "key", mClock.Now() + 1s, mClock.Now());
    auto call = std::get<StoreCall>(holder.TakeActions().front());
    holder.OnGet(call.mTicket, Fail(ErrorKind::NotFound, "", ""), mClock.Now());
    call = std::get<StoreCall>(holder.TakeActions().front());
    holder.OnPut(call.mTicket, StoreVersion{ 1 }, mClock.Now());
    auto granted = std::get<Granted>(holder.TakeActions().front());
    mClock.Advance(96h);
    bool mayDispatch = holder.MayDispatch("key", granted.mNonce, mClock.Now());
    CHECK_EQUAL(!checksDeadline, mayDispatch);
  }
}
