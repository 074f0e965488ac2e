#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "src/balancer/MemberPlane.h"
#include "src/passthrough/BalancersInView.h"
#include "src/passthrough/FlowBalancer.h"
#include "src/passthrough/FlowSteering.h"
#include "src/passthrough/InventoryExchange.h"
#include "src/passthrough/IsolationWatch.h"
#include "src/passthrough/PassthroughProcess.h"
#include "src/passthrough/PastServiceExchange.h"
#include "src/passthrough/ViewCompleteness.h"
#include "src/process/ProcessStallWatch.h"

namespace heatherplank {

/** The components of a FlowBalancer and the connections between them. Timers
 * and the process's state are in FlowBalancer.cpp, messages in
 * FlowBalancerMessages.cpp. Everything runs on one thread. */
struct FlowBalancer::Impl final : FlowSteeringOutput
{
  Impl(const FlowBalancerSettings& aSettings, const PlatformAdapter& aAdapter,
       ReloadSettings aReloadSettings);

  const FlowBalancerSettings mSettings;
  const ReloadSettings mReloadSettings;
  const Member mSelf;
  PassthroughProcess mProcess;
  const Clock& mClock;
  Histogram& mPlacementTime;
  FlowSteering mSteering;
  MemberPlane mMembers;
  PastServiceExchange mPastServices;
  InventoryExchange mRoutes;
  DataCentreDrains mDrains;
  boost::asio::steady_timer mRetryTimer;
  std::optional<Time> mRetryAt;
  ProcessStallWatch mStallWatch;
  std::shared_ptr<DatagramSocket> mIngress;
  const Time mStartedAt;
  ViewCompleteness mCompleteness;
  IsolationWatch mIsolation;
  bool mIsolated = false;
  BalancersInView mBalancers;
  bool mStopping = false;

  Result<void> Ready();
  Result<void> Open();
  void Start();

  void Tick();
  void UpdateViewState(Time aNow);
  void TickSteering();
  Time CheckForStall();
  void OnProcessStall(Duration aGap, Time aNow);
  void EvaluateIsolation(Time aNow);
  void UpdateDirectory(Time aNow);
  void EverySecond();
  void ArmRetry();
  void Stop();

  void OnDatagram(ByteView aDatagram, const Address& aFrom);
  void OnFrame(const Frame& aFrame);
  void OnHeartbeat(const Frame& aFrame);
  void NotifyDrained(const Member& aAgent);
  bool Handle(const Result<PlacementReport>& aReport);
  bool Handle(Result<SteeredPacket> aSteered);
  bool Handle(const Result<FlowRecords>& aRecords);
  bool Handle(const Result<FlowQueryReply>& aReply);
  bool Handle(const Result<InventoryNotice>& aNotice);
  bool Handle(const Result<InventoryDocument>& aDocument);
  bool Handle(const Result<PastServicesRequest>& aRequest);
  bool Handle(const Result<PastServices>& aList);

  void Steer(const Address& aAgent, const SteeredPacket& aPacket) override;
  void SendRecords(const Address& aBalancer,
                   const FlowRecords& aRecords) override;
  void Query(const Address& aAgent, const FlowQuery& aQuery) override;
  void ToCaller(const Address& aCaller, ByteView aPacket) override;
  void Placed(Duration aElapsed) override;
};

} // namespace heatherplank
