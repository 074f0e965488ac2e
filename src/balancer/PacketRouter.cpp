#include "src/balancer/PacketRouter.h"

#include <algorithm>

#include "src/caller/Answer.h"
#include "src/metrics/Metrics.h"

namespace heatherplank {

namespace {

/** More than the threads of a balancer, so that lock contention is rare. */
constexpr std::size_t kHintShards = 16;

/** Membership converges within a few heartbeats, while an unknown address needs
 * an operator. */
constexpr auto kNoMemberRetryAfter = std::chrono::seconds(1);
constexpr auto kUnknownServiceRetryAfter = std::chrono::seconds(30);

/** True for a never-repeat request. A copy of it may have reached a host
 * through another balancer, or a host that has left this view, so that it can't
 * be answered as not run. */
bool MayHaveRun(const Service& aService, const CallerRequest& aRequest)
{
  const Rule* rule = FindRule(aService, aRequest.mMethod, aRequest.mTarget);
  return rule != nullptr && rule->mNeverRepeat;
}

Answer MakeRefusal(SteerRefusal aReason)
{
  if (aReason == SteerRefusal::UnknownService) {
    return MakeNotRun(404, ToString(aReason), kUnknownServiceRetryAfter);
  }
  return MakeNotRun(503, ToString(aReason), kNoMemberRetryAfter);
}

} // namespace

PacketRouter::PacketRouter(MetricsRegistry& aMetrics, const Address& aTunnel,
                           std::size_t aMaxHints)
  : mTunnel(aTunnel)
  , mForwarded(aMetrics.GetCounter("packets_forwarded_total"))
  , mMalformed(aMetrics.GetCounter("packets_refused_total",
                                   "reason=\"malformed_request\""))
  , mNotReady(
      aMetrics.GetCounter("packets_refused_total", "reason=\"not_ready\""))
  , mRoutes(std::make_shared<Routes>())
{
  for (std::size_t i = 0; i < mRefused.size(); ++i) {
    std::string name(ToString(static_cast<SteerRefusal>(i)));
    mRefused[i] =
      &aMetrics.GetCounter("packets_refused_total", "reason=\"" + name + "\"");
  }
  for (std::size_t i = 0; i < kHintShards; ++i) {
    mShards.push_back(std::make_unique<Shard>(aMaxHints / kHintShards + 1));
  }
}

PacketRouter::~PacketRouter() = default;

void PacketRouter::SetRoutes(RoutesPtr aRoutes)
{
  std::lock_guard lock(mRoutesLock);
  mRoutes = std::move(aRoutes);
}

RoutesPtr PacketRouter::CurrentRoutes() const
{
  std::lock_guard lock(mRoutesLock);
  return mRoutes;
}

PacketRouter::Shard& PacketRouter::ShardOf(std::uint64_t aFlowHash)
{
  return *mShards[(aFlowHash >> 48) % kHintShards];
}

std::optional<Outgoing> PacketRouter::OnPacket(const Packet& aPacket)
{
  if (!mReady) {
    mNotReady.Add();
    return std::nullopt;
  }
  RoutesPtr routes = CurrentRoutes();
  auto route = routes->mByAddress.find(aPacket.mFlow.mService);
  if (route == routes->mByAddress.end()) {
    return Refuse(aPacket, SteerRefusal::UnknownService);
  }
  const ServiceView* view = route->second.mView.get();
  if (view == nullptr) {
    return Refuse(aPacket, SteerRefusal::NoMember);
  }
  std::uint64_t hash = HashFlow(aPacket.mFlow);
  Shard& shard = ShardOf(hash);
  SteerDecision decision = [&] {
    std::lock_guard lock(shard.mLock);
    return Steer(hash, view, shard.mHints);
  }();
  if (const auto* refusal = std::get_if<SteerRefusal>(&decision)) {
    return Refuse(aPacket, *refusal);
  }
  const auto& target = std::get<SteerTarget>(decision);
  // Callers of a stalled host would wait until their timeout. While the host is
  // suspected they are refused at once with a Retry-After; by then it has
  // refuted the suspicion, or is declared dead and its flows have a new owner.
  const auto& suspects = route->second.mSuspects;
  if (std::find(suspects.begin(), suspects.end(), target.mMember->mHost) !=
      suspects.end()) {
    return Refuse(aPacket, SteerRefusal::HostUnresponsive);
  }
  Packet packet = aPacket;
  packet.mService = route->second.mService;
  packet.mDirective = target.mDirective;
  packet.mHintTo = mTunnel;
  mForwarded.Add();
  return Outgoing{ target.mMember->mTunnel, EncodePacket(packet) };
}

void PacketRouter::OnHint(const FlowKey& aFlow, const OwnerHint& aOwner)
{
  std::uint64_t hash = HashFlow(aFlow);
  Shard& shard = ShardOf(hash);
  std::lock_guard lock(shard.mLock);
  if (aOwner.mHost.IsNone()) {
    shard.mHints.Erase(hash);
    return;
  }
  shard.mHints.Put(hash, aOwner);
}

std::optional<Outgoing> PacketRouter::Refuse(const Packet& aPacket,
                                             SteerRefusal aReason)
{
  mRefused[static_cast<std::size_t>(aReason)]->Add();
  auto request = ParseCallerRequest(aPacket.mPayload);
  if (!request) {
    mMalformed.Add();
    return std::nullopt;
  }
  Answer refusal = MakeRefusal(aReason);
  const Service* service =
    CurrentRoutes()->mConfiguration->FindByAddress(aPacket.mFlow.mService);
  if (service != nullptr && MayHaveRun(*service, *request)) {
    refusal = MakeUnsure(ToString(aReason), refusal.mRetryAfter);
  }
  std::string text = WriteAnswer(refusal, request->mRequestId, 0, {}).front();
  Packet answer = aPacket;
  answer.mDirective = PacketDirective::Answer;
  answer.mPayload =
    ByteView(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  return Outgoing{ aPacket.mReturnTo, EncodePacket(answer) };
}

} // namespace heatherplank
