// What must hold, as callers and hosts see it.
#include <cstdio>

#include <boost/json.hpp>

#include "lab/soak/PacketMaker.h"
#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

void Soak::Violated(const std::string& aWhat)
{
  if (mViolations.size() < 20) {
    mViolations.push_back(aWhat);
  }
}

void Soak::OnReset(const FlowCallers::Call& aCall)
{
  for (const auto& it : mAgents) {
    if (aCall.mAccepted && it->mHost->HoldsOpen(aCall.mFlow) != 0) {
      Violated("reset of a flow that its host holds: " +
               aCall.mFlow.ToString());
    }
  }
}

void Soak::OnHostGets(Agent& aAgent, ByteView aPacket)
{
  Bytes plain(aPacket.begin(), aPacket.end());
  PlatformPackets().Tag(plain, 0);
  if (!mSent.contains(plain)) {
    Violated("a host got a packet that no caller wrote");
    return;
  }
  auto packet = PlatformPackets().Parse(aPacket);
  FlowKey flow = packet->FlowFromCaller();
  if (!packet->mSyn || aAgent.mHost->Knows(flow)) {
    return;
  }
  const char* wanted = flow.mService == RouteOf(2) ? "two" : "one";
  if (aAgent.mHost->Service() != wanted) {
    Violated("a host of another service got " + flow.ToString());
  }
  auto left = aAgent.mHost->LeftAt();
  if (left && std::chrono::steady_clock::now() > *left + kLeaveSlack) {
    Violated("a leaving host got " + flow.ToString());
  }
}

void Soak::CheckFlowsAreFound()
{
  std::map<FlowKey, int> asked;
  for (const auto& [flow, call] : mCallers.Calls()) {
    for (const auto& it : mAgents) {
      if (!call.mEnded && it->mHost->HoldsOpen(flow) != 0 &&
          mRandom() % 8 == 0) {
        asked[flow] = 0;
      }
    }
  }
  for (const auto& it : mAgents) {
    it->mHost->ForgetHeard();
  }
  for (const auto& [flow, n] : asked) {
    mCallers.Ask(flow);
  }
  mContext.run_for(milliseconds(700));
  // Datagrams may be lost on a busy machine; twice the same one is a finding.
  for (const auto& [flow, n] : asked) {
    mCallers.Ask(flow);
  }
  mContext.run_for(milliseconds(700));
  std::size_t missing = 0;
  for (const auto& [flow, n] : asked) {
    bool held = false;
    bool reached = false;
    for (const auto& it : mAgents) {
      held = held || it->mHost->HoldsOpen(flow) != 0;
      reached = reached || it->mHost->Heard(flow);
    }
    missing += held && !reached ? 1 : 0;
  }
  mFlowsAsked = asked.size();
  if (missing > 0) {
    Violated(std::to_string(missing) + " of " + std::to_string(asked.size()) +
             " open flows were not found");
  }
}

void Soak::CheckRoutesChange()
{
  WriteRoutes({ { 1, "one" }, { 2, "two" }, { 3, "one" } });
  mContext.run_for(kRoutesWithin);
  // One after the other: a burst of them would be refused for load, as seed 36
  // showed, which says nothing of routes.
  std::vector<FlowKey> fresh;
  std::vector<FlowKey> unknown;
  for (int i = 0; i < 10; ++i) {
    fresh.push_back(mCallers.Begin(RouteOf(3)));
    unknown.push_back(mCallers.Begin(RouteOf(4)));
    mContext.run_for(milliseconds(60));
  }
  mContext.run_for(milliseconds(800));
  for (const FlowKey& it : fresh) {
    if (mCallers.Calls().at(it).mAccepted) {
      continue;
    }
    FlowKey again = mCallers.Begin(RouteOf(3));
    mContext.run_for(milliseconds(800));
    if (!mCallers.Calls().at(again).mAccepted) {
      Violated("a new route was not in force: " + again.ToString());
    }
  }
  for (const FlowKey& it : unknown) {
    if (mCallers.Calls().at(it).mAccepted) {
      Violated("a flow of no route was opened: " + it.ToString());
    }
  }
}

void Soak::CheckServed()
{
  auto now = std::chrono::steady_clock::now();
  int asked = 0;
  int answered = 0;
  for (const auto& [flow, call] : mCallers.Calls()) {
    auto age = now - call.mBegan;
    if (age > seconds(2) && age < seconds(6) && flow.mService != RouteOf(4)) {
      ++asked;
      answered += call.mAnswered ? 1 : 0;
    }
  }
  if (answered * 100 < asked * 98) {
    Violated("in calm " + std::to_string(answered) + " of " +
             std::to_string(asked) + " calls were answered");
  }
}

void Soak::Print() const
{
  json::array faults;
  for (const auto& it : mPlayed) {
    faults.push_back(json::value(it));
  }
  json::array violations;
  for (const auto& it : mViolations) {
    violations.push_back(json::value(it));
  }
  json::object line{ { "seed", mOptions.mSeed },
                     { "ok", mViolations.empty() },
                     { "calls", mCallers.Calls().size() },
                     { "answered", mCallers.Answered() },
                     { "refused", mCallers.Refused() },
                     { "flows_asked_for", mFlowsAsked },
                     { "store_calls", mStore.Calls() },
                     { "faults", std::move(faults) },
                     { "violations", std::move(violations) } };
  std::printf("%s\n", json::serialize(line).c_str());
  std::fflush(stdout);
}

} // namespace heatherplank::lab
