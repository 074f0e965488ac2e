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

// Classes of ThreeClasses(): claims (critical), checks (high), documents (low,
// deferrable).
TEST_GROUP(Admission){};

TEST(Admission, InvalidOptionsOrNameReturnsError)
{
  CHECK_FALSE(MakeAdmissionPolicy("reservation", {}).has_value());
  CHECK_FALSE(MakeAdmissionPolicy("best", ThreeClasses()).has_value());
}

TEST(Admission, RequestsBeyondTheSlotsAreQueued)
{
  AdmissionDriver host(ThreeClasses());
  STRCMP_EQUAL("dispatched", host.Outcome(host.Send(kClaims)).c_str());
  STRCMP_EQUAL("dispatched", host.Outcome(host.Send(kClaims)).c_str());
  auto third = host.Send(kClaims);
  STRCMP_EQUAL("waits", host.Outcome(third).c_str());
  host.Done(1, 20ms);
  STRCMP_EQUAL("dispatched", host.Outcome(third).c_str());
}

// Guards against FIFO order: a claim that arrives while checks are queued would
// wait behind all of them.
TEST(Admission, MoreImportantClassRunsBeforeQueuedRequests)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kChecks, 20ms);
  auto running = host.Send(kChecks);
  for (int i = 0; i < 5; ++i) {
    host.Send(kChecks);
  }
  auto claim = host.Send(kClaims);
  host.Done(running, 20ms);
  CHECK_TRUE(host.HasAction(claim, ActionKind::Dispatch));
}

// At saturation the queue is longer than the deadline allows. Without early
// refusal, callers wait a whole second for a failure, and their requests take
// slots when the answers are already worthless.
TEST(Admission, RequestThatCannotMeetItsDeadlineIsRefusedOnArrival)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mEarlyRefusal = on;
    AdmissionDriver host(options);
    host.TrainServiceTime(kClaims, 200ms);
    std::size_t refused = 0;
    for (std::uint64_t caller = 0; caller < 20; ++caller) {
      host.Send(kClaims, caller);
      refused += Count(host.mActions, ActionKind::Refuse);
    }
    // 2 run, and in the remaining 800 ms 8 more can start.
    CHECK_EQUAL(on, refused >= 10);
    CHECK_EQUAL(on, refused > 0);
  }
}

// The backend server stalls after requests were admitted. They must be refused
// as soon as their deadline is unreachable, not when it passes.
TEST(Admission, QueuedRequestIsRefusedOnceItsDeadlineIsUnreachable)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kClaims, 100ms);
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
    if (const Action* action = host.ActionFor(it)) {
      CHECK_TRUE(action->mRetryAfter > Duration{});
    }
  }
}

// Two long documents on a host with two slots: without the reservation they
// hold both, and a claim has to wait for the first to end.
TEST(Admission, LongRequestsDoNotTakeTheReservedSlot)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mReservation = on;
    AdmissionDriver host(options);
    host.TrainServiceTime(kClaims, 20ms);
    host.TrainServiceTime(kDocuments, 3s);
    host.Send(kDocuments);
    host.Send(kDocuments);
    auto claim = host.Send(kClaims);
    CHECK_EQUAL(on, host.HasAction(claim, ActionKind::Dispatch));
  }
}

// The reserved slot is lent to short work: kept idle, it would halve the
// throughput of checks at low load.
TEST(Admission, ShortRequestsBorrowTheReservedSlot)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kChecks, 20ms);
  host.Send(kChecks);
  CHECK_TRUE(host.HasAction(host.Send(kChecks), ActionKind::Dispatch));
}

// One caller sends most of the requests. Without round-robin service and a
// bound for each caller, its requests fill the queue and other callers are
// refused.
TEST(Admission, BusyCallerDoesNotStarveOthers)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mFairness = on;
    AdmissionDriver host(options);
    host.TrainServiceTime(kChecks, 100ms);
    std::string last;
    for (int i = 0; i < 100; ++i) {
      last = host.Outcome(host.Send(kChecks, 7));
    }
    CHECK_EQUAL(on, last == "refused: over_share");
    auto other = host.Send(kChecks, 8);
    CHECK_EQUAL(on, host.Outcome(other) == "waits");
  }
}

// Admitted deferrable work must run although claims keep every slot busy; by
// importance alone it would wait until its deadline passed.
TEST(Admission, AdmittedDeferrableRequestRunsBeforeItsDeadline)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kClaims, 100ms);
  host.TrainServiceTime(kDocuments, 100ms);
  std::vector<RequestId> running{ host.Send(kClaims, 1),
                                  host.Send(kClaims, 2) };
  const RequestId document = host.Send(kDocuments);
  STRCMP_EQUAL("waits", host.Outcome(document).c_str());
  bool dispatched = false;
  for (int step = 0; step < 99 && !dispatched; ++step) {
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
        dispatched = dispatched || action.mId == document;
        if (action.mKind == ActionKind::Dispatch) {
          running.push_back(action.mId);
        }
      }
    }
  }
  CHECK_TRUE(dispatched);
}

// A slow period raised the estimate above the deadline. If all later requests
// were refused, no answer would correct it, and an idle host would refuse
// requests for good.
TEST(Admission, ProbesCorrectTooHighAnEstimateOnAnIdleHost)
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
      if (host.HasAction(id, ActionKind::Dispatch)) {
        ++dispatched;
        host.Done(id, 20ms);
      }
    }
    CHECK_EQUAL(on, dispatched > 40);
    CHECK_EQUAL(on, dispatched > 0);
  }
}

// A burst is refused in the same millisecond. With equal retry times, all
// callers would return at once and be refused again, repeatedly.
TEST(Admission, RefusedBurstGetsSpreadRetryTimes)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mSpreadRetryTimes = on;
    AdmissionDriver host(options);
    host.TrainServiceTime(kChecks, 50ms);
    std::vector<Duration> retryAfters;
    for (std::uint64_t caller = 0; caller < 400; ++caller) {
      auto id = host.Send(kChecks, caller);
      if (host.HasAction(id, ActionKind::Refuse)) {
        retryAfters.push_back(host.ActionFor(id)->mRetryAfter);
      }
    }
    std::ranges::sort(retryAfters);
    CHECK_TRUE(retryAfters.size() > 300);
    // 2 slots of 50 ms serve 40 a second: 300 callers take over 7 s.
    const Duration spread =
      retryAfters[retryAfters.size() - 1] - retryAfters[0];
    CHECK_EQUAL(on, spread > 6s);
    CHECK_TRUE(retryAfters.front() > Duration{});
  }
}

// Guards against dispatching the next request at once after the backend server
// sheds one: the server would shed the whole queue within milliseconds.
TEST(Admission, ShedRequestPausesDispatch)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kChecks, 50ms);
  auto first = host.Send(kChecks, 1);
  host.Send(kChecks, 2);
  auto waiting = host.Send(kChecks, 3);
  host.Done(first, 1ms, RunResult::Shed);
  STRCMP_EQUAL("waits", host.Outcome(waiting).c_str());
  CHECK_TRUE(host.mPolicy->NextWakeUp() <= host.mNow + 10ms);
  host.Advance(10ms);
  STRCMP_EQUAL("dispatched", host.Outcome(waiting).c_str());
}

TEST(Admission, CancelRemovesQueuedButNotRunningRequests)
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

// A planned stop: running requests continue, and queued requests are answered
// at once, either refused here or forwarded to a host that has room.
TEST(Admission, DrainEmptiesTheQueueAndKeepsRunningRequests)
{
  for (bool withPeer : { true, false }) {
    AdmissionDriver host(ThreeClasses());
    host.TrainServiceTime(kChecks, 50ms);
    for (std::uint64_t caller = 0; caller < 4; ++caller) {
      host.Send(kChecks, caller);
    }
    if (withPeer) {
      host.ReportOneIdlePeer();
    }
    host.mActions.clear();
    host.mPolicy->OnDrain(host.mNow, host.mActions);
    CHECK_EQUAL(2, Count(host.mActions,
                         withPeer ? ActionKind::Forward : ActionKind::Refuse));
    CHECK_EQUAL(2, host.mPolicy->Load().mBusy);
    auto lateArrival = host.Send(kChecks);
    CHECK_TRUE(host.HasAction(lateArrival, withPeer ? ActionKind::Forward
                                                    : ActionKind::Refuse));
  }
}

// Requests queue up here while another host idles. If hosts with stale load
// reports forwarded on every small difference, requests would move back and
// forth.
TEST(Admission, QueuedRequestIsForwardedOnlyForAClearGain)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kChecks, 20ms);
  for (std::uint64_t caller = 0; caller < 4; ++caller) {
    host.Send(kChecks, caller);
  }
  host.ReportOneIdlePeer();
  CHECK_EQUAL(0, host.mActions.size());
  for (std::uint64_t caller = 4; caller < 14; ++caller) {
    host.Send(kChecks, caller);
  }
  host.ReportOneIdlePeer();
  const auto forwarded = Count(host.mActions, ActionKind::Forward);
  CHECK_TRUE(forwarded >= 1 && forwarded <= 2);
}

TEST(Admission, ForwardedRequestIsNotForwardedAgain)
{
  for (bool on : { true, false }) {
    auto options = ThreeClasses();
    options.mGuards.mForwardHysteresis = on;
    AdmissionDriver host(options);
    host.TrainServiceTime(kChecks, 20ms);
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
    host.ReportOneIdlePeer();
    CHECK_EQUAL(on, Count(host.mActions, ActionKind::Forward) == 0);
  }
}

TEST(Admission, SlotReductionKeepsRunningRequests)
{
  AdmissionDriver host(ThreeClasses());
  auto first = host.Send(kChecks);
  host.Send(kChecks);
  auto third = host.Send(kChecks);
  host.mActions.clear();
  host.mPolicy->OnSlots(1, host.mNow, host.mActions);
  CHECK_TRUE(host.mActions.empty());
  host.Done(first, 20ms);
  STRCMP_EQUAL("waits", host.Outcome(third).c_str());
}

// Documents stay queued although a slot is free, since it is reserved for
// claims. A wake-up time in the past would make the driver tick in a busy loop
// without answering any request (seen as a hang of the load benchmark).
TEST(Admission, NextWakeUpIsInTheFuture)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kClaims, 20ms);
  host.TrainServiceTime(kDocuments, 3s);
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

// A rule changes while the queue is full. Queued requests must keep their
// places; a policy rebuilt from scratch would lose them.
TEST(Admission, RuleChangeKeepsQueuedRequestsAndEstimates)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kClaims, 100ms);
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
  STRCMP_EQUAL("dispatched", host.Outcome(claim).c_str());
  host.Done(claim, 100ms);
  STRCMP_EQUAL("dispatched", host.Outcome(check).c_str());
  host.Send(1, 5);
  CHECK_EQUAL(1, host.mPolicy->Load().mQueued);
}

// Another host admitted a deferrable request and forwarded it. If this host
// refused it for lack of room, its caller would get the refusal after seconds
// of waiting.
TEST(Admission, ForwardedDeferrableRequestIsAdmitted)
{
  AdmissionDriver host(ThreeClasses());
  host.TrainServiceTime(kDocuments, 1s);
  RequestId id = 0;
  while (id == 0 || host.Outcome(id) != "refused: deadline_unreachable") {
    id = host.Send(kDocuments, id);
  }
  Request forwarded;
  forwarded.mId = 9999;
  forwarded.mClass = kDocuments;
  forwarded.mHops = 1;
  forwarded.mArrival = host.mNow;
  forwarded.mDeadline = host.mNow + 10s;
  STRCMP_EQUAL("waits", host.Outcome(host.Send(forwarded)).c_str());
}
