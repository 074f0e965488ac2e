#include "tests/AdmissionDriver.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::test;

namespace {

std::size_t Count(const Actions& aActions, ActionKind aKind)
{
  return static_cast<std::size_t>(std::ranges::count(
    aActions, aKind, [](const Action& aAction) { return aAction.mKind; }));
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, BadOptionsAndNamesAreRefused)
{
  CHECK_FALSE(MakeAdmissionPolicy("reservation", {}).has_value());
  CHECK_FALSE(MakeAdmissionPolicy("best", ThreeClasses()).has_value());
}

TEST(Admission, AFreeSlotRunsAtOnceAndTheNextWaits)
{
  AdmissionDriver host(ThreeClasses());
  STRCMP_EQUAL("dispatched", host.What(host.Send(kClaims)).c_str());
  STRCMP_EQUAL("dispatched", host.What(host.Send(kClaims)).c_str());
  auto third = host.Send(kClaims);
  STRCMP_EQUAL("waits", host.What(third).c_str());
  host.Done(1, 20ms);
  STRCMP_EQUAL("dispatched", host.What(third).c_str());
}

// The morning rush: checks wait when a claim comes in. The owner of the claim
// is at the slipway; served in order of arrival it would wait behind them all.
TEST(Admission, AClaimPassesTheChecksThatWait)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kChecks, 20ms);
  auto running = host.Send(kChecks);
  for (int i = 0; i < 5; ++i) {
    host.Send(kChecks);
  }
  auto claim = host.Send(kClaims);
  host.Done(running, 20ms);
  CHECK_TRUE(host.Is(claim, ActionKind::Dispatch));
}

// Saturation: the queue is longer than the deadline allows. Without early
// refusal the caller waits a whole second to learn nothing, and its work takes
// a slot when the answer is already worthless.
TEST(Admission, WhatCantBeAnsweredInTimeIsRefusedAtTheDoor)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mEarlyRefusal = on;
    AdmissionDriver host(options);
    host.Teach(kClaims, 200ms);
    std::size_t refused = 0;
    for (std::uint64_t caller = 0; caller < 20; ++caller) {
      host.Send(kClaims, caller);
      refused += Count(host.mActions, ActionKind::Refuse);
    }
    // 2 run, and in the 800 ms that are left 8 more can start.
    CHECK_EQUAL(on, refused >= 10);
    CHECK_EQUAL(on, refused > 0);
  }
}

// The backend server stalls after requests were let in. They must be told as
// soon as it is clear that they lost their chance, not at their deadline.
TEST(Admission, WhatLosesItsChanceWhileWaitingIsRefusedThen)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kClaims, 100ms);
  auto first = host.Send(kClaims, 1);
  auto second = host.Send(kClaims, 2);
  std::vector<RequestId> waiting;
  for (std::uint64_t caller = 3; caller < 9; ++caller) {
    waiting.push_back(host.Send(kClaims, caller));
  }
  host.mNow += 600ms;
  host.Done(first, 600ms);
  host.Done(second, 600ms);
  host.Advance(50ms);
  CHECK_TRUE(Count(host.mActions, ActionKind::Refuse) > 0);
  for (auto it : waiting) {
    if (const Action* action = host.Of(it)) {
      CHECK_TRUE(action->mRetryAfter > Duration{});
    }
  }
}

// Two long downloads on a host of two slots: without the reservation both
// slots are lent to them, and a claim has to wait out the shorter one.
TEST(Admission, LongWorkDoesNotTakeTheSlotKeptForClaims)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mReservation = on;
    AdmissionDriver host(options);
    host.Teach(kClaims, 20ms);
    host.Teach(kDocuments, 3s);
    host.Send(kDocuments);
    host.Send(kDocuments);
    auto claim = host.Send(kClaims);
    CHECK_EQUAL(on, host.Is(claim, ActionKind::Dispatch));
  }
}

// The same slot is lent when the work is short: kept idle it would halve what
// checks get on a quiet day.
TEST(Admission, ShortWorkBorrowsTheSlotKeptForClaims)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kChecks, 20ms);
  host.Send(kChecks);
  CHECK_TRUE(host.Is(host.Send(kChecks), ActionKind::Dispatch));
}

// One broker's script sends most of the requests. Without turns and a bound
// for each caller, its queue is everybody's queue.
TEST(Admission, ABusyCallerDoesNotPushOutTheOthers)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mFairness = on;
    AdmissionDriver host(options);
    host.Teach(kChecks, 100ms);
    std::string last;
    for (int i = 0; i < 100; ++i) {
      last = host.What(host.Send(kChecks, 7));
    }
    CHECK_EQUAL(on, last == "refused: over_share");
    auto other = host.Send(kChecks, 8);
    CHECK_EQUAL(on, host.What(other) == "waits");
  }
}

// Documents that were let in must come to run though claims keep every slot
// busy; by importance alone they would wait until their deadline passed.
TEST(Admission, AcceptedDocumentsRunBeforeTheirDeadline)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kClaims, 100ms);
  host.Teach(kDocuments, 100ms);
  std::vector<RequestId> running{ host.Send(kClaims, 1),
                                  host.Send(kClaims, 2) };
  const RequestId document = host.Send(kDocuments);
  STRCMP_EQUAL("waits", host.What(document).c_str());
  bool ran = false;
  for (int step = 0; step < 99 && !ran; ++step) {
    for (std::uint64_t caller = 0; caller < 4; ++caller) {
      host.Send(kClaims, caller);
    }
    host.mNow += 100ms;
    const auto done = running;
    running.clear();
    for (auto it : done) {
      host.Done(it, 100ms);
      for (const auto& action : host.mActions) {
        CHECK_FALSE(action.mId == document &&
                    action.mKind != ActionKind::Dispatch);
        ran = ran || action.mId == document;
        if (action.mKind == ActionKind::Dispatch) {
          running.push_back(action.mId);
        }
      }
    }
  }
  CHECK_TRUE(ran);
}

// A slow spell put the estimate above the deadline. Were all refused from then
// on, no answer would ever correct it, and an idle host would refuse for good.
TEST(Admission, AnIdleHostRecoversFromABadEstimate)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mProbe = on;
    AdmissionDriver host(options);
    auto slow = host.Send(kClaims);
    host.mNow += 3s;
    host.Done(slow, 3s);
    std::size_t dispatched = 0;
    for (int i = 0; i < 100; ++i) {
      host.mNow += 50ms;
      auto id = host.Send(kClaims);
      if (host.Is(id, ActionKind::Dispatch)) {
        ++dispatched;
        host.Done(id, 20ms);
      }
    }
    CHECK_EQUAL(on, dispatched > 40);
    CHECK_EQUAL(on, dispatched > 0);
  }
}

// A crowd is refused in the same millisecond. Told the same moment, all come
// back in it and are refused again, on a beat.
TEST(Admission, ARefusedCrowdIsToldDifferentMoments)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mSpreadReturns = on;
    AdmissionDriver host(options);
    host.Teach(kChecks, 50ms);
    std::vector<Duration> told;
    for (std::uint64_t caller = 0; caller < 400; ++caller) {
      auto id = host.Send(kChecks, caller);
      if (host.Is(id, ActionKind::Refuse)) {
        told.push_back(host.Of(id)->mRetryAfter);
      }
    }
    std::ranges::sort(told);
    CHECK_TRUE(told.size() > 300);
    // 2 slots of 50 ms serve 40 a second: 300 callers take over 7 s.
    const Duration spread = told[told.size() - 1] - told[0];
    CHECK_EQUAL(on, spread > 6s);
    CHECK_TRUE(told.front() > Duration{});
  }
}

// The backend server sheds. Sent the next one at once, and the next, it would
// shed the whole queue within milliseconds.
TEST(Admission, AShedPausesTheQueue)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kChecks, 50ms);
  auto first = host.Send(kChecks, 1);
  host.Send(kChecks, 2);
  auto waiting = host.Send(kChecks, 3);
  host.Done(first, 1ms, RunResult::Shed);
  STRCMP_EQUAL("waits", host.What(waiting).c_str());
  CHECK_TRUE(host.mPolicy->NextWakeUp() <= host.mNow + 10ms);
  host.Advance(10ms);
  STRCMP_EQUAL("dispatched", host.What(waiting).c_str());
}

TEST(Admission, WhatWaitsCanBeWithdrawnAndWhatRunsCant)
{
  AdmissionDriver host(ThreeClasses());
  auto runs = host.Send(kChecks);
  host.Send(kChecks);
  auto waits = host.Send(kChecks);
  CHECK_TRUE(host.mPolicy->OnCancel(waits, host.mNow, host.mActions));
  CHECK_FALSE(host.mPolicy->OnCancel(waits, host.mNow, host.mActions));
  CHECK_FALSE(host.mPolicy->OnCancel(runs, host.mNow, host.mActions));
  host.Done(runs, 20ms);
  CHECK_TRUE(host.mActions.empty());
}

// A planned stop. What runs is not cut; what waits gets an answer now, from
// here or from a host that has room.
TEST(Admission, ADrainEmptiesTheQueueAndCutsNothing)
{
  for (bool withPeer : { true, false }) {
    AdmissionDriver host(ThreeClasses());
    host.Teach(kChecks, 50ms);
    for (std::uint64_t caller = 0; caller < 4; ++caller) {
      host.Send(kChecks, caller);
    }
    if (withPeer) {
      host.OneIdlePeer();
    }
    host.mActions.clear();
    host.mPolicy->OnDrain(host.mNow, host.mActions);
    CHECK_EQUAL(2, Count(host.mActions,
                         withPeer ? ActionKind::HandOn : ActionKind::Refuse));
    CHECK_EQUAL(2, host.mPolicy->Load().mBusy);
    auto late = host.Send(kChecks);
    CHECK_TRUE(
      host.Is(late, withPeer ? ActionKind::HandOn : ActionKind::Refuse));
  }
}

// Busy flows queue up here while another host idles. Moving on every small
// difference, hosts with old figures would pass work back and forth.
TEST(Admission, WaitingWorkMovesOnceAndOnlyForAClearGain)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kChecks, 20ms);
  for (std::uint64_t caller = 0; caller < 4; ++caller) {
    host.Send(kChecks, caller);
  }
  host.OneIdlePeer();
  CHECK_EQUAL(0, host.mActions.size());
  for (std::uint64_t caller = 4; caller < 14; ++caller) {
    host.Send(kChecks, caller);
  }
  host.OneIdlePeer();
  const auto moved = Count(host.mActions, ActionKind::HandOn);
  CHECK_TRUE(moved >= 1 && moved <= 2);
}

TEST(Admission, MovedWorkIsNotMovedAgain)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mHandOnHysteresis = on;
    AdmissionDriver host(options);
    host.Teach(kChecks, 20ms);
    for (std::uint64_t i = 0; i < 14; ++i) {
      Request request;
      request.mId = 1000 + i;
      request.mClass = kChecks;
      request.mHops = 1;
      request.mCaller = i;
      request.mArrival = host.mNow;
      request.mDeadline = host.mNow + 1s;
      host.Send(request);
    }
    host.OneIdlePeer();
    CHECK_EQUAL(on, Count(host.mActions, ActionKind::HandOn) == 0);
  }
}

TEST(Admission, FewerSlotsCutNothingThatRuns)
{
  AdmissionDriver host(ThreeClasses());
  auto first = host.Send(kChecks);
  host.Send(kChecks);
  auto third = host.Send(kChecks);
  host.mActions.clear();
  host.mPolicy->OnSlots(1, host.mNow, host.mActions);
  CHECK_TRUE(host.mActions.empty());
  host.Done(first, 20ms);
  STRCMP_EQUAL("waits", host.What(third).c_str());
}

// Documents wait although a slot is free: it is kept for claims. A wake-up
// time that has passed would have the driver tick in a circle and answer
// nobody (the load bench hung in this way).
TEST(Admission, TheNextWakeUpIsAlwaysAhead)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kClaims, 20ms);
  host.Teach(kDocuments, 3s);
  host.Send(kDocuments);
  host.Send(kDocuments);
  for (int i = 0; i < 200; ++i) {
    const auto next = host.mPolicy->NextWakeUp();
    if (!next) {
      return;
    }
    CHECK_TRUE(*next > host.mNow);
    host.Advance(*next - host.mNow);
  }
}

// Operators change a rule while the queue is full. What waits keeps its place
// and its promise; rebuilt from nothing, the host would lose it.
TEST(Admission, NewRulesKeepWhatWaitsAndWhatWasLearned)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kClaims, 100ms);
  auto runs = host.Send(kChecks, 1);
  host.Send(kChecks, 2);
  auto check = host.Send(kChecks, 3);
  auto claim = host.Send(kClaims, 4);
  auto options = ThreeClasses();
  std::swap(options.mClasses[kClaims], options.mClasses[kDocuments]);
  options.mClasses.erase(options.mClasses.begin() + kChecks);
  host.mActions.clear();
  host.mPolicy->OnOptions(options, host.mNow, host.mActions);
  CHECK_TRUE(host.mActions.empty());
  CHECK_EQUAL(2, host.mPolicy->Load().mQueued);
  host.Done(runs, 20ms);
  STRCMP_EQUAL("dispatched", host.What(claim).c_str());
  host.Done(claim, 100ms);
  STRCMP_EQUAL("dispatched", host.What(check).c_str());
  host.Send(1, 5);
  CHECK_EQUAL(1, host.mPolicy->Load().mQueued);
}

// A document was let in by another host, which handed it on. Refused here for
// want of room, it would come back to its caller after seconds of waiting.
TEST(Admission, ADocumentThatAnotherHostLetInIsLetIn)
{
  AdmissionDriver host(ThreeClasses());
  host.Teach(kDocuments, 1s);
  RequestId id = 0;
  while (id == 0 || host.What(id) != "refused: deadline_unreachable") {
    id = host.Send(kDocuments, id);
  }
  Request moved;
  moved.mId = 9999;
  moved.mClass = kDocuments;
  moved.mHops = 1;
  moved.mArrival = host.mNow;
  moved.mDeadline = host.mNow + 10s;
  STRCMP_EQUAL("waits", host.What(host.Send(moved)).c_str());
}
