#include "src/passthrough/WorkInProgress.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

FlowKey Flow(std::uint16_t aPort)
{
  FlowKey out;
  out.mCaller.mPort = aPort;
  return out;
}

} // namespace

TEST_GROUP(WorkInProgress)
{
  ManualClock mClock;
  WorkInProgress mWork;
};

TEST(WorkInProgress, CountsFromBeginToEnd)
{
  mWork.Begin(Flow(1), mClock.Now(), mClock.Now() + 1s);
  mWork.Begin(Flow(2), mClock.Now(), mClock.Now() + 1s);
  CHECK_EQUAL(2, mWork.Size());
  mClock.Advance(20ms);
  auto ended = mWork.End(Flow(1), mClock.Now());
  CHECK(ended.mLasted == 20ms);
  CHECK_EQUAL(0, ended.mAhead);
  CHECK(mWork.End(Flow(1), mClock.Now()).mLasted == Duration::zero());
  CHECK_EQUAL(1, mWork.Size());
}

// A caller gives up before its flow opens and sends nothing more. The entry
// must expire to release the slot.
TEST(WorkInProgress, EntryWithoutAnEndExpires)
{
  mWork.Begin(Flow(1), mClock.Now(), mClock.Now() + 300ms);
  mClock.Advance(299ms);
  mWork.Expire(mClock.Now());
  CHECK_EQUAL(1, mWork.Size());
  mClock.Advance(1ms);
  mWork.Expire(mClock.Now());
  CHECK_EQUAL(0, mWork.Size());
}

TEST(WorkInProgress, DropsEntriesOfAnEarlierHostIncarnation)
{
  mWork.Begin(Flow(1), mClock.Now(), mClock.Now() + 8s);
  mClock.Advance(2s);
  mWork.Begin(Flow(2), mClock.Now(), mClock.Now() + 8s);
  mWork.DropOlderThan(mClock.Now() - 1s);
  CHECK_EQUAL(1, mWork.Size());
  CHECK_EQUAL(1, mWork.End(Flow(2), mClock.Now()).mAhead);
}

// A host with a full queue rejects a request at once, before it answers those
// that came earlier. Flows that are being opened are not in its queue.
TEST(WorkInProgress, CountsTheRequestsThatAnAnswerOvertook)
{
  mWork.Begin(Flow(1), mClock.Now(), mClock.Now() + 8s);
  mWork.Begin(Flow(2), mClock.Now(), mClock.Now() + 8s, WorkKind::Opening);
  mClock.Advance(1ms);
  mWork.Begin(Flow(3), mClock.Now(), mClock.Now() + 8s);
  mClock.Advance(1ms);
  mWork.Begin(Flow(4), mClock.Now(), mClock.Now() + 8s);
  CHECK_EQUAL(1, mWork.End(Flow(3), mClock.Now()).mOvertaken);
  CHECK_EQUAL(1, mWork.End(Flow(4), mClock.Now()).mOvertaken);
  CHECK_EQUAL(0, mWork.End(Flow(1), mClock.Now()).mOvertaken);
}
