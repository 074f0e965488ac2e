#include "tests/HostFlowsFixture.h"

using namespace heatherplank;

TEST_GROUP_BASE(HostFlows, HostFlowsFixture){};

TEST(HostFlows, PlacesAFlowAndTellsTheBalancerOnceTheHostAnswered)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_EQUAL(0, mOut.mReports.size());
  mFlows->OnHostPacket(Packet(kSyn | kAck, 500, 2, true), mClock.Now());
  CHECK_EQUAL(1, mOut.mToCaller.size());
  CHECK_EQUAL(1, mOut.mReports.size());
  CHECK_TRUE(mOut.mReports[0].first == kBalancer);
  CHECK(mOut.mReports[0].second.mOutcome == PlacementOutcome::Placed);
}

TEST(HostFlows, CountsARequestUntilItIsAnswered)
{
  Beat();
  Open();
  CHECK_EQUAL(1, mFlows->Condition(mClock.Now()).mInProgress);
  mClock.Advance(15ms);
  mFlows->OnHostPacket(Packet(kAck, 501, 12, true, 100), mClock.Now());
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
  CHECK(mOut.mTimes.back().first == HostTiming::Answer);
  CHECK(mOut.mTimes.back().second == 15ms);
}

TEST(HostFlows, PassesOnWithItsWaitWhenTheSlotsAreTaken)
{
  Beat();
  for (std::uint16_t port : { 1, 2 }) {
    Bytes syn = Packet(kSyn, 1, 0);
    syn[1] = static_cast<std::uint8_t>(port);
    Steer(SteerPurpose::Place, syn, true);
  }
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0), true);
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].first == kNext);
  CHECK_TRUE(mOut.mSteered[0].second.mBest == *ParseAddress("10.0.1.1:7000"));
  CHECK(mOut.mSteered[0].second.mBestWait > 0ms);
}

// An agent restarts beside a host that had said that it leaves, and was
// acknowledged by the agent's earlier life. Until the host was heard again it
// gets nothing new.
TEST(HostFlows, AfterARestartNothingNewBeforeTheHostWasHeard)
{
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0), true);
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK(mOut.mReports[0].second.mOutcome == PlacementOutcome::Refused);
}

// A host leaves while the copy of an opening packet that it never answered is
// on its way. For the host the copy would open a new flow.
TEST(HostFlows, ALeavingHostGetsNoCopyOfAnUnansweredOpening)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  Beat(HostPhase::Draining);
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 1), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
}

TEST(HostFlows, ALeavingHostKeepsItsFlows)
{
  Beat();
  Open();
  Beat(HostPhase::Draining);
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 501, false, 10));
  CHECK_EQUAL(3, mOut.mToHost.size());
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 1));
  CHECK_EQUAL(4, mOut.mToHost.size());
}

// Two hosts answered copies of one opening packet, and the caller took the
// other one's answer. What it sends is not for this host.
TEST(HostFlows, AFlowThatTheCallerOpenedElsewhereIsPassedOn)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  mFlows->OnHostPacket(Packet(kSyn | kAck, 500, 2, true), mClock.Now());
  Steer(SteerPurpose::Search, Packet(kAck, 2, 900501, false, 10), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_EQUAL(0, mFlows->Size());
}

// An agent restarted beside a living host that holds flows. It knows none of
// them; a packet may reach the host to ask, and goes on if it comes back.
TEST(HostFlows, AfterARestartTheHostIsAskedAboutUnknownFlows)
{
  mBeats = 6;
  Beat();
  Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_TRUE(mPackets.Parse(mOut.mToHost[0])->mTag != 0);
  Bounce();
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].second.mPacket ==
             Packet(kAck, 2, 501, false, 10));
  // Flows from before the restart are over by then.
  mClock.Advance(61s);
  Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
}

// The agent of a flow's host restarts, and the caller repeats a packet until it
// is back. Each repeat is searched for; another host must not get them all.
TEST(HostFlows, AHostIsAskedAboutAFlowOnce)
{
  mBeats = 6;
  Beat();
  Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10), true);
  Bounce();
  for (int i = 0; i < 3; ++i) {
    mClock.Advance(400ms);
    Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10), true);
  }
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_EQUAL(4, mOut.mSteered.size());
  // An opening packet of the same key is a new flow.
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  CHECK_EQUAL(2, mOut.mToHost.size());
  mFlows->OnHostPacket(Packet(kSyn | kAck, 500, 2, true), mClock.Now());
  Steer(SteerPurpose::Deliver, Packet(kAck, 2, 501, false, 10));
  CHECK_EQUAL(3, mOut.mToHost.size());
}

TEST(HostFlows, AHostKnownFromItsStartIsNotAsked)
{
  Beat();
  Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10), true);
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
}

TEST(HostFlows, AWrongHintGoesBackToTheBalancer)
{
  Beat();
  Steer(SteerPurpose::Deliver, Packet(kAck, 2, 501, false, 10));
  CHECK_TRUE(mOut.mSteered[0].first == kBalancer);
  CHECK(mOut.mSteered[0].second.mPurpose == SteerPurpose::NotHere);
}

// The search found no host. The flow's host may live behind a cut: a reset
// would break a flow that silence leaves whole.
TEST(HostFlows, ASearchEndsInSilence)
{
  Beat();
  Steer(SteerPurpose::Search, Packet(kAck, 2, 501, false, 10));
  CHECK_EQUAL(0, mOut.mToCaller.size());
  CHECK_EQUAL(0, mOut.mSteered.size());
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::SearchEnded));
}

// A host crashed and started anew under the eyes of its agent. A caller that
// still writes to the lost flow would wait out its deadline.
TEST(HostFlows, AFlowThatItsHostLostIsResetAtOnce)
{
  Beat();
  Open();
  Bounce();
  CHECK_EQUAL(2, mOut.mToCaller.size());
  auto reset = mPackets.Parse(mOut.mToCaller[1]);
  CHECK_TRUE(reset->mReset);
  CHECK_EQUAL(501, reset->mSequence);
  CHECK_EQUAL(0, mFlows->Size());
}

TEST(HostFlows, AHostThatIsFullIsPassedBy)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0), true);
  Bounce();
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].second.mPacket == Packet(kSyn, 1, 0));
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
}

// A host's address went to another service; a balancer still has the old member
// and sends it a flow of the old service.
TEST(HostFlows, NothingForAnotherServiceReachesTheHost)
{
  Beat();
  for (auto purpose :
       { SteerPurpose::Place, SteerPurpose::Deliver, SteerPurpose::Search }) {
    Steer(purpose, Packet(kSyn, 1, 0), true, kBalancer, "other");
  }
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK_EQUAL(3, mFlows->Count(HostFlowEvent::RefusedOtherService));
}

// All balancers were replaced; the next packet comes by one that was never
// told where the flow is.
TEST(HostFlows, ANewBalancerIsTold)
{
  Beat();
  Open();
  Steer(SteerPurpose::Search, Packet(kAck, 12, 501), false, kOtherBalancer);
  CHECK_EQUAL(2, mOut.mReports.size());
  CHECK_TRUE(mOut.mReports[1].first == kOtherBalancer);
}

// A host goes dark while its agent lives. One flow finds out; the ones behind
// it go to other hosts, and one in a while tries again.
TEST(HostFlows, AHostThatAnswersNothingIsPassedBy)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0), true);
  mClock.Advance(130ms);
  mFlows->OnTick(mClock.Now());
  Bytes other = Packet(kSyn, 1, 0);
  other[1] = 9;
  Steer(SteerPurpose::Place, other, true);
  CHECK_EQUAL(1, mOut.mToHost.size());
  mClock.Advance(150ms);
  Steer(SteerPurpose::Place, other, true);
  CHECK_EQUAL(2, mOut.mToHost.size());
}

// A surge: callers whose copies went to several hosts open the flow at one. The
// flows that never open must not fill the slots of an idle host, or its
// refusals bring more copies and the surge feeds itself.
TEST(HostFlows, FlowsThatNeverOpenFreeTheirSlotsSoon)
{
  Beat();
  for (std::uint16_t i = 0; i < 2; ++i) {
    Bytes syn = Packet(kSyn, 1, 0);
    syn[1] = static_cast<std::uint8_t>(i);
    Steer(SteerPurpose::Place, syn, true);
    Bytes answer = Packet(kSyn | kAck, 500, 2, true);
    answer[7] = static_cast<std::uint8_t>(i);
    mFlows->OnHostPacket(answer, mClock.Now());
  }
  CHECK_EQUAL(2, mFlows->Condition(mClock.Now()).mInProgress);
  mClock.Advance(50ms);
  mFlows->OnTick(mClock.Now());
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
}

TEST(HostFlows, IsBoundedAndForgetsWhatIsOld)
{
  Beat();
  for (std::uint16_t i = 0; i < 200; ++i) {
    Bytes answer = Packet(kAck | kFin, 501, 12, true);
    answer[7] = static_cast<std::uint8_t>(i);
    mFlows->OnHostPacket(answer, mClock.Now());
  }
  CHECK_EQUAL(64, mFlows->Size());
  mClock.Advance(61s);
  mFlows->OnTick(mClock.Now());
  CHECK_EQUAL(0, mFlows->Size());
}

// An upload's packets overtake one another, so the host repeats an
// acknowledgement and the caller sends a packet again. The copy comes after the
// host's answer. Counted as one more request, it held a slot of an idle host
// for seconds, and uploads were refused beside free slots.
TEST(HostFlows, ACopyOfDataAfterTheAnswerIsNoRequest)
{
  Beat();
  Open();
  CHECK_EQUAL(1, mFlows->Condition(mClock.Now()).mInProgress);
  mFlows->OnHostPacket(Packet(kAck, 501, 12, true, 5), mClock.Now());
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
  Steer(SteerPurpose::Deliver, Packet(kAck, 2, 501, false, 10));
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
}

// A flow that is kept open carries a second request after the first answer. It
// is work again; a copy of the first request that comes late is not.
TEST(HostFlows, EachRequestOfAKeptOpenFlowIsWorkOnce)
{
  Beat();
  Open();
  mFlows->OnHostPacket(Packet(kAck, 501, 12, true, 5), mClock.Now());
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 506, false, 10));
  CHECK_EQUAL(1, mFlows->Condition(mClock.Now()).mInProgress);
  mFlows->OnHostPacket(Packet(kAck, 506, 22, true, 5), mClock.Now());
  Steer(SteerPurpose::Deliver, Packet(kAck, 2, 501, false, 10));
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 506, false, 10));
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
}

// The host answers before it has the whole upload, and closes. What the caller
// still sends is no work, new bytes or not.
TEST(HostFlows, DataAfterTheHostsEndIsNoRequest)
{
  Beat();
  Open();
  mFlows->OnHostPacket(Packet(kAck | kFin, 501, 12, true, 5), mClock.Now());
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 507, false, 10));
  CHECK_EQUAL(0, mFlows->Condition(mClock.Now()).mInProgress);
}

// A caller uses its port again for a new flow while the old one is remembered
// as ended. The request of the new one is work.
TEST(HostFlows, APortUsedAgainBeginsANewFlow)
{
  Beat();
  Open();
  mFlows->OnHostPacket(Packet(kAck | kFin, 501, 12, true, 5), mClock.Now());
  Steer(SteerPurpose::Place, Packet(kSyn, 7001, 0));
  mFlows->OnHostPacket(Packet(kSyn | kAck, 900, 7002, true), mClock.Now());
  Steer(SteerPurpose::Deliver, Packet(kAck, 7002, 901, false, 10));
  mClock.Advance(60ms);
  mFlows->OnTick(mClock.Now());
  CHECK_EQUAL(1, mFlows->Condition(mClock.Now()).mInProgress);
}

// A balancer restarts at its old address while a flow is open, and searches for
// it. The agent had told its former life where the flow is; untold, the new one
// searches for every packet, and drops those that wait for the answer.
TEST(HostFlows, WhoSearchesIsToldAgain)
{
  Beat();
  Open();
  std::size_t told = mOut.mReports.size();
  Steer(SteerPurpose::Search, Packet(kAck, 12, 501, false, 10));
  CHECK_EQUAL(told + 1, mOut.mReports.size());
  Steer(SteerPurpose::Deliver, Packet(kAck, 22, 501, false, 10));
  CHECK_EQUAL(told + 1, mOut.mReports.size());
}

// A search is begun here by a balancer. The flow is elsewhere, so the other
// hosts are asked side by side; where the flow is here, nobody else is asked.
TEST(HostFlows, SharesASearchOutUnlessItHoldsTheFlow)
{
  Beat();
  SteeredPacket steered;
  steered.mService = MakeServiceId("s");
  steered.mPurpose = SteerPurpose::FanOut;
  steered.mIngress = kBalancer;
  for (int i = 2; i < 12; ++i) {
    steered.mCandidates.push_back(
      *ParseAddress("10.0.1." + std::to_string(i) + ":7000"));
  }
  steered.mPacket = Packet(kAck, 2, 501, false, 10);
  mFlows->OnSteered(steered, mClock.Now());
  CHECK_EQUAL(4, mOut.mSteered.size());
  std::size_t asked = 0;
  for (const auto& [to, walk] : mOut.mSteered) {
    CHECK(walk.mPurpose == SteerPurpose::Search);
    asked += 1 + walk.mCandidates.size();
  }
  CHECK_EQUAL(10, asked);
  mOut.mSteered.clear();
  Open();
  mFlows->OnSteered(steered, mClock.Now());
  CHECK_TRUE(mOut.mSteered.empty());
}

// A host answers the first copy of an opening packet, crashes, starts anew and
// says that it leaves. The caller heard nothing and sends a second copy; it
// must not open a flow at a host that leaves.
TEST(HostFlows, ALeavingHostGetsNoCopyThatItsFormerLifeAnswered)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  mFlows->OnHostPacket(Packet(kSyn | kAck, 500, 2, true), mClock.Now());
  HostAnnouncement next;
  next.mId = "i";
  next.mStartedAt = 2;
  next.mSequence = 1;
  next.mPhase = HostPhase::Draining;
  next.mSlots = 2;
  mFlows->OnAnnouncement(next, mClock.Now());
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 1), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
  CHECK_TRUE(mOut.mSteered[0].first == kNext);
}
