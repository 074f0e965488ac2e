#include "src/membership/AgentMembership.h"

#include "src/membership/BalancerMembership.h"
#include "tests/MembershipFleet.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(AgentMembership)
{
  MembershipFleet::AllowAll mAllowAll;
  Time mNow = Time{} + 1h;
  std::unique_ptr<AgentMembership> mAgent;

  void setup() override
  {
    AgentMembershipOptions options;
    options.mSeeds = { Seed() };
    Member self;
    self.mHost = MakeHostId("host");
    self.mService = MembershipFleet::Service();
    self.mIncarnation = 1;
    self.mControl = MembershipFleet::AddressOf(MembershipFleet::kAgentPorts);
    mAgent =
      std::make_unique<AgentMembership>(self, mAllowAll, options, 1, mNow);
    mAgent->SetState(HostState::Serving, mNow);
  }

  static Address Seed()
  {
    return MembershipFleet::AddressOf(0);
  }

  /** Runs the agent in ticks of 50 ms; returns the receivers of heartbeats. */
  std::vector<Address> HeartbeatsSentDuring(Duration aDuration)
  {
    std::vector<Address> out;
    for (Time end = mNow + aDuration; mNow < end;) {
      mNow += 50ms;
      mAgent->OnTick(mNow);
      TakeHeartbeats(out);
    }
    return out;
  }

  void TakeHeartbeats(std::vector<Address> & aOut)
  {
    for (const SendMembership& it : mAgent->TakeActions()) {
      if (std::holds_alternative<Heartbeat>(it.mMessage)) {
        aOut.push_back(it.mTo);
      }
    }
  }

  /** Delivers a balancer's answer to the heartbeat with the given number. */
  void AnswerHeartbeat(std::uint32_t aNumber)
  {
    MemberDelta answer;
    answer.mAnswersHeartbeat = aNumber;
    mAgent->OnMessage(answer, mNow);
  }
};

// After a power loss the seeds start last. If the agent sends them heartbeats
// only twice a second, its host gets no flows for up to 0.5 s after they
// started.
TEST(AgentMembership, SendsFrequentHeartbeatsUntilABalancerAnswers)
{
  std::size_t sentBeforeAnswer = HeartbeatsSentDuring(1s).size();
  CHECK_EQUAL(21, sentBeforeAnswer);
  AnswerHeartbeat(21);
  std::size_t sentAfterAnswer = HeartbeatsSentDuring(2s).size();
  CHECK_TRUE(sentAfterAnswer <= 5);
}

// The seeds are gone permanently. The agent must not continue to send them
// twenty heartbeats per second.
TEST(AgentMembership, StopsFrequentHeartbeatsAfterDiscoveryTimeout)
{
  HeartbeatsSentDuring(5s);
  std::size_t sentAfterTimeout = HeartbeatsSentDuring(2s).size();
  CHECK_TRUE(sentAfterTimeout <= 5);
}

// The directory adds a balancer while the seeds are unresponsive. The balancer
// can route to this host only after a heartbeat, so one must be sent at once.
TEST(AgentMembership, SendsHeartbeatToNewSeedsAtOnce)
{
  std::vector<Address> heartbeats;
  TakeHeartbeats(heartbeats);
  Address found = MembershipFleet::AddressOf(7);
  mAgent->SetSeeds({ found, Seed() }, mNow);
  heartbeats.clear();
  TakeHeartbeats(heartbeats);
  CHECK_EQUAL(1, heartbeats.size());
  CHECK_TRUE(heartbeats[0] == found);
}

// A balancer joins under traffic. It can route to a host only after a
// heartbeat, so an agent must send one as soon as it learns of the balancer.
TEST(AgentMembership, SendsHeartbeatToNewBalancerAtOnce)
{
  AnswerHeartbeat(1);
  std::vector<Address> heartbeats;
  TakeHeartbeats(heartbeats);
  MemberDelta delta;
  delta.mTable = MemberTableId::Balancers;
  MemberRecord record;
  record.mMember.mHost = MakeHostId("balancer");
  record.mMember.mService = BalancerService();
  record.mMember.mState = HostState::Serving;
  record.mMember.mIncarnation = 5;
  record.mMember.mControl = MembershipFleet::AddressOf(3);
  delta.mRecords = { record };
  mAgent->OnMessage(delta, mNow);
  heartbeats.clear();
  TakeHeartbeats(heartbeats);
  CHECK_EQUAL(1, std::ranges::count(heartbeats, record.mMember.mControl));
  CHECK_EQUAL(1, mAgent->KnownBalancers().size());
  mAgent->OnMessage(delta, mNow);
  heartbeats.clear();
  TakeHeartbeats(heartbeats);
  CHECK_TRUE(heartbeats.empty());
}

// All machines restart at once after a power loss, and the only seed starts
// last. Every balancer must then know every host within 250 ms; waiting up to
// 0.5 s for ordinary heartbeats would make the balancers refuse callers.
TEST(AgentMembership, BalancersFindAllHostsSoonAfterPowerLoss)
{
  MembershipFleet fleet(3, 5, 10, {}, 1, true, 1);
  auto seed = std::move(fleet.mBalancers.at(0));
  fleet.mBalancers.erase(0);
  fleet.Run(400ms);
  fleet.AddBalancer(0);
  fleet.Run(250ms);
  for (int balancer = 0; balancer < 5; ++balancer) {
    CHECK_EQUAL(10, fleet.ViewAt(balancer).size());
  }
}
