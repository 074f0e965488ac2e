// Checks of what callers and hosts observe.
#include <cstdio>

#include <boost/json.hpp>

#include "lab/soak/PacketMaker.h"
#include "lab/soak/SoakWorld.h"

namespace heatherplank::lab {

void Soak::RecordViolation(const std::string& aMessage)
{
  if (mViolations.size() < 20) {
    mViolations.push_back(aMessage);
  }
}

bool Soak::MayServe(const Address& aRoute, const std::string& aService) const
{
  if (aRoute != RouteAddress(kSplitRoute)) {
    return aService == (aRoute == RouteAddress(2) ? "two" : "one");
  }
  auto now = std::chrono::steady_clock::now();
  return aService == "one" || !mServiceLeftAt ||
         now < *mServiceLeftAt + kRoutesTimeout;
}

void Soak::OnReset(const FlowCallers::Call& aCall)
{
  for (const auto& it : mAgents) {
    if (aCall.mAccepted && it->mHost->OpenFlowIncarnation(aCall.mFlow) != 0) {
      RecordViolation("reset of a flow that its host holds: " +
                      aCall.mFlow.ToString());
    }
  }
}

void Soak::OnHostPacket(Agent& aAgent, ByteView aPacket)
{
  Bytes plain(aPacket.begin(), aPacket.end());
  PlatformPackets().Tag(plain, 0);
  if (!mSentPackets.contains(plain)) {
    RecordViolation("a host received a packet that no caller sent");
    return;
  }
  auto packet = PlatformPackets().Parse(aPacket);
  FlowKey flow = packet->FlowFromCaller();
  if (!packet->mSyn || aAgent.mHost->HasFlow(flow)) {
    return;
  }
  if (!MayServe(flow.mService, aAgent.mHost->Service())) {
    RecordViolation("a host of another service received " + flow.ToString());
  }
  auto acknowledged = aAgent.mHost->DrainAcknowledgedAt();
  if (acknowledged &&
      std::chrono::steady_clock::now() > *acknowledged + kDrainSlack) {
    RecordViolation("a draining host received the new flow " + flow.ToString());
  }
}

void Soak::CheckOpenFlowsAreReachable()
{
  std::map<FlowKey, int> sampled;
  for (const auto& [flow, call] : mCallers.Calls()) {
    for (const auto& it : mAgents) {
      if (!call.mEnded && it->mHost->OpenFlowIncarnation(flow) != 0 &&
          mRandom() % 8 == 0) {
        sampled[flow] = 0;
      }
    }
  }
  for (const auto& it : mAgents) {
    it->mHost->ClearReceived();
  }
  for (const auto& [flow, n] : sampled) {
    mCallers.SendRequest(flow);
  }
  mContext.run_for(milliseconds(700));
  // A busy machine may drop a datagram, so a flow counts as missing only if two
  // requests are lost.
  for (const auto& [flow, n] : sampled) {
    mCallers.SendRequest(flow);
  }
  mContext.run_for(milliseconds(700));
  std::vector<FlowKey> missing;
  for (const auto& [flow, n] : sampled) {
    bool reached = false;
    for (const auto& it : mAgents) {
      reached = reached || it->mHost->ReceivedPacketOf(flow);
    }
    if (HostOf(flow) != nullptr && !reached) {
      missing.push_back(flow);
    }
  }
  mFlowsSampled = sampled.size();
  if (!missing.empty()) {
    RecordViolation(std::to_string(missing.size()) + " of " +
                    std::to_string(sampled.size()) +
                    " open flows did not reach their host, one of them " +
                    missing.front().ToString());
  }
}

void Soak::CheckRouteChanges()
{
  if (mOptions.mSilencesStore) {
    SilenceStoreConnections();
  }
  WriteRoutes({ { 1, "one" }, { 2, "two" }, { 3, "one" } });
  mContext.run_for(kRoutesTimeout);
  // Flows are opened one at a time: a burst would be refused for load, as with
  // seed 36, which is no failure of the routes.
  std::vector<FlowKey> routed;
  std::vector<FlowKey> unrouted;
  for (int i = 0; i < 10; ++i) {
    routed.push_back(mCallers.OpenFlow(RouteAddress(3)));
    unrouted.push_back(mCallers.OpenFlow(RouteAddress(4)));
    mContext.run_for(milliseconds(60));
  }
  mContext.run_for(milliseconds(800));
  for (const FlowKey& it : routed) {
    if (mCallers.Calls().at(it).mAccepted) {
      continue;
    }
    FlowKey retry = mCallers.OpenFlow(RouteAddress(3));
    mContext.run_for(milliseconds(800));
    if (!mCallers.Calls().at(retry).mAccepted) {
      RecordViolation("a new route is not in force: " + retry.ToString());
    }
  }
  for (const FlowKey& it : unrouted) {
    if (mCallers.Calls().at(it).mAccepted) {
      RecordViolation("a flow without a route was accepted: " + it.ToString());
    }
  }
}

void Soak::CheckCallsAnswered()
{
  auto now = std::chrono::steady_clock::now();
  int calls = 0;
  int answered = 0;
  for (const auto& [flow, call] : mCallers.Calls()) {
    auto age = now - call.mStartTime;
    if (age > seconds(2) && age < seconds(6) &&
        flow.mService != RouteAddress(4)) {
      ++calls;
      answered += call.mAnswered ? 1 : 0;
    }
  }
  if (answered * 100 < calls * 98) {
    RecordViolation("after the faults ended " + std::to_string(answered) +
                    " of " + std::to_string(calls) + " calls were answered");
  }
}

void Soak::Print() const
{
  json::array faults;
  for (const auto& it : mPlannedFaults) {
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
                     { "flows_asked_for", mFlowsSampled },
                     { "store_calls", mStore.Calls() },
                     { "faults", std::move(faults) },
                     { "violations", std::move(violations) } };
  if (mOptions.mLongFlows) {
    line["requests_on_open_flows"] = mCallers.RequestsOnOpenFlows();
    line["late_requests"] = mLate + mLateAtLeftService;
    line["late_details"] = mLateDetails;
    line["flows_lost"] = mLostFlows.size();
    line["flows_lost_reset"] = mLostFlowsReset;
  }
  std::printf("%s\n", json::serialize(line).c_str());
  std::fflush(stdout);
}

} // namespace heatherplank::lab
