#include "tests/HostFlowsFixture.h"

using namespace heatherplank;

namespace {

constexpr std::uint8_t kReset = 8;

} // namespace

/** A host of two slots. A flow is named by the caller's port. */
struct HostFlowsSchedulingFixture : public HostFlowsFixture
{
  void setup() override
  {
    HostFlowsFixture::setup();
    Announce();
  }

  Bytes Of(std::uint8_t aPort, std::uint8_t aFlags, std::uint32_t aSequence,
           std::uint32_t aAcknowledged, bool aFromHost = false,
           std::uint16_t aData = 0)
  {
    Bytes out = Packet(aFlags, aSequence, aAcknowledged, aFromHost, aData);
    out[aFromHost ? 7 : 1] = aPort;
    return out;
  }

  void Send(std::uint8_t aPort, std::uint32_t aSequence,
            std::uint8_t aFlags = kAck, std::uint16_t aData = 10)
  {
    Steer(SteerPurpose::Deliver,
          Of(aPort, aFlags, aSequence, 501, false, aData));
  }

  void Answer(std::uint8_t aPort, std::uint8_t aFlags = kAck)
  {
    mFlows->OnHostPacket(Of(aPort, aFlags, 501, 12, true, 100), mClock.Now());
  }

  void Open(std::uint8_t aPort)
  {
    Steer(SteerPurpose::Place, Of(aPort, kSyn, 1, 0));
    mFlows->OnHostPacket(Of(aPort, kSyn | kAck, 500, 2, true), mClock.Now());
  }

  /** Opens a flow and has its first request answered within 5 ms. */
  void OpenAndServe(std::uint8_t aPort)
  {
    Open(aPort);
    Send(aPort, 2);
    mClock.Advance(5ms);
    Answer(aPort);
  }

  /** Three requests in progress, and a held one on flow 4. */
  void HoldOne()
  {
    // Enough answers to know the host's service time.
    for (std::uint8_t port = 20; port > 0; --port) {
      OpenAndServe(port);
    }
    mOut.mToHost.clear();
    for (std::uint8_t port : { 1, 2, 3, 4 }) {
      Send(port, 12);
    }
    CHECK_EQUAL(3, mOut.mToHost.size());
    CHECK_EQUAL(1, mFlows->RequestsHeld());
  }
};

TEST_GROUP_BASE(HostFlowsScheduling, HostFlowsSchedulingFixture){};

TEST(HostFlowsScheduling, RequestIsHeldUntilASlotIsFree)
{
  HoldOne();
  CHECK_EQUAL(4, mFlows->Condition(mClock.Now()).mInProgress);
  mClock.Advance(5ms);
  Answer(1);
  CHECK_EQUAL(4, mOut.mToHost.size());
  CHECK_EQUAL(0, mFlows->RequestsHeld());
  CHECK_EQUAL(3, mFlows->Condition(mClock.Now()).mInProgress);
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::RequestHeld));
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::RequestInTurn));
}

TEST(HostFlowsScheduling, PacketsOfAHeldFlowKeepTheirOrder)
{
  HoldOne();
  Send(4, 22);
  Send(4, 12);
  Send(4, 32, kAck | kFin, 0);
  CHECK_EQUAL(3, mOut.mToHost.size());
  mClock.Advance(5ms);
  Answer(1);
  // The retransmission of the first packet was dropped.
  CHECK_EQUAL(6, mOut.mToHost.size());
  CHECK_EQUAL(12, mPackets.Parse(mOut.mToHost[3])->mSequence);
  CHECK_EQUAL(22, mPackets.Parse(mOut.mToHost[4])->mSequence);
  CHECK_TRUE(mPackets.Parse(mOut.mToHost[5])->mFin);
}

TEST(HostFlowsScheduling, ResetDiscardsHeldPacketsAndIsDelivered)
{
  HoldOne();
  Send(4, 22, kReset, 0);
  CHECK_EQUAL(4, mOut.mToHost.size());
  CHECK_TRUE(mPackets.Parse(mOut.mToHost[3])->mReset);
  CHECK_EQUAL(0, mFlows->RequestsHeld());
}

// The host hangs while requests are held.
TEST(HostFlowsScheduling, HeldRequestIsDeliveredAtItsLimitByTheTick)
{
  HoldOne();
  mClock.Advance(20ms);
  mFlows->OnTick(mClock.Now());
  CHECK_EQUAL(3, mOut.mToHost.size());
  mClock.Advance(30ms);
  mFlows->OnTick(mClock.Now());
  CHECK_EQUAL(4, mOut.mToHost.size());
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::RequestOverdue));
}

TEST(HostFlowsScheduling, HeldRequestsAreDeliveredWhenTheHostDrains)
{
  HoldOne();
  Announce(HostPhase::Draining);
  CHECK_EQUAL(4, mOut.mToHost.size());
  Send(4, 22);
  CHECK_EQUAL(5, mOut.mToHost.size());
}

TEST(HostFlowsScheduling, HeldRequestsAreDeliveredWhenTheDataCentreDrains)
{
  HoldOne();
  mFlows->OnDrainNotice({ { 1 } }, mClock.Now());
  CHECK_EQUAL(4, mOut.mToHost.size());
}

TEST(HostFlowsScheduling, HeldRequestsAreDeliveredWhenTheAgentStops)
{
  HoldOne();
  mFlows->Leave(mClock.Now());
  CHECK_EQUAL(4, mOut.mToHost.size());
}

// The host closes the flow while the caller's next request is held.
TEST(HostFlowsScheduling, HeldRequestIsDeliveredWhenTheHostClosesItsFlow)
{
  HoldOne();
  Answer(4, kAck | kFin);
  CHECK_EQUAL(4, mOut.mToHost.size());
}

TEST(HostFlowsScheduling, FirstRequestOfAFlowIsNeverHeld)
{
  HoldOne();
  Open(30);
  Send(30, 2);
  CHECK_EQUAL(1, mFlows->RequestsHeld());
}

// An agent restarts while its host holds flows. It does not know whether a
// request is in progress on them.
TEST(HostFlowsScheduling, FlowsFromBeforeAnAgentRestartAreNotHeld)
{
  HoldOne();
  Restart();
  Announce();
  mOut.mToHost.clear();
  for (std::uint8_t port : { 1, 2, 3, 4 }) {
    Answer(port);
    Send(port, 22);
  }
  CHECK_EQUAL(4, mOut.mToHost.size());
  CHECK_EQUAL(0, mFlows->RequestsHeld());
}

// The host rejects a request because its queue is full (503). That frees no
// slot: an important request released then would be rejected as well. Nor does
// it show a short service time.
TEST(HostFlowsScheduling, RejectionReleasesNoImportantRequest)
{
  HoldOne();
  SteeredPacket important;
  important.mService = MakeServiceId("s");
  important.mPurpose = SteerPurpose::Deliver;
  important.mImportance = Importance::High;
  important.mLatencyTarget = 100ms;
  important.mIngress = kBalancer;
  important.mPacket = Of(5, kAck, 12, 501, false, 10);
  mFlows->OnSteered(important, mClock.Now());
  CHECK_EQUAL(2, mFlows->RequestsHeld());
  mClock.Advance(1ms);
  Open(30);
  Send(30, 2);
  Duration before = mFlows->Condition(mClock.Now()).mServiceTime;
  mClock.Advance(1ms);
  Answer(30);
  CHECK(before == mFlows->Condition(mClock.Now()).mServiceTime);
  CHECK_EQUAL(1, mFlows->RequestsHeld());
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::RequestOverdue));
  mClock.Advance(4ms);
  Answer(1);
  CHECK_EQUAL(1, mFlows->Count(HostFlowEvent::RequestInTurn));
}

TEST(HostFlowsScheduling, NothingIsHeldIfSchedulingIsOff)
{
  mSchedules = false;
  Restart();
  Announce();
  for (std::uint8_t port = 20; port > 0; --port) {
    OpenAndServe(port);
  }
  for (std::uint8_t port : { 1, 2, 3, 4 }) {
    Send(port, 12);
  }
  CHECK_EQUAL(0, mFlows->RequestsHeld());
}
