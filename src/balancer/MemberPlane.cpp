#include "src/balancer/MemberPlane.h"

#include <set>
#include <utility>

#include "src/base/Log.h"
#include "src/metrics/Metrics.h"
#include "src/net/ControlClient.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

/** Agents send a heartbeat every 300 ms; four of them have come after this. */
constexpr auto kSettleAlone = std::chrono::milliseconds(1500);
/** A digest every 2 s repairs what was lost within the 4 s that a change may
 * take; at 100 ms a tick. */
constexpr std::uint64_t kTicksPerDigest = 20;
/** Records sent at once: a tenth of a second's share of 25 KB/s to each of a
 * few peers would be less, but a burst of restarts must get out within 1 s. */
constexpr std::size_t kChangesPerTick = 256;
constexpr std::size_t kSnapshotRecords = 4096;
constexpr std::size_t kDifferences = 64;

/** Ranks come from the full weight; slow start is the agents' choice. */
MemberTableOptions MakeOptions()
{
  MemberTableOptions options;
  options.mSlowStart = Duration::zero();
  return options;
}

} // namespace

/** Asks the configuration in force; everything is refused until there is one.
 */
class MemberPlane::ConfiguredInventory final : public InventoryCheck
{
public:
  bool Allows(const Member& aMember) const override
  {
    return mHosts.contains({ aMember.mHost, aMember.mService });
  }

  void Set(const Configuration& aConfiguration)
  {
    mHosts.clear();
    for (const auto& [id, service] : aConfiguration.mServices) {
      for (const auto& host : service.mHosts) {
        mHosts.insert({ MakeHostId(host.mName), id });
      }
    }
  }

private:
  std::set<std::pair<HostId, ServiceId>> mHosts;
};

MemberPlane::MemberPlane(const Clock& aClock, MetricsRegistry& aMetrics,
                         ViewsChanged aViewsChanged)
  : mClock(aClock)
  , mMetrics(aMetrics)
  , mViewsChanged(std::move(aViewsChanged))
  , mInventory(std::make_unique<ConfiguredInventory>())
  , mTable(MemberTableId::Hosts, *mInventory, MakeOptions())
  , mStartedAt(aClock.Now())
  , mExported(static_cast<std::size_t>(MemberEvent::Last) + 1)
{
}

MemberPlane::~MemberPlane() = default;

void MemberPlane::SetPeers(std::vector<std::shared_ptr<ControlClient>> aPeers)
{
  mPeers = std::move(aPeers);
}

void MemberPlane::SetConfiguration(const ConfigurationPtr& aConfiguration)
{
  {
    std::lock_guard lock(mLock);
    mInventory->Set(*aConfiguration);
    mTable.Recheck(mClock.Now());
  }
  PublishChanges();
}

void MemberPlane::OnPeerConnected(const ControlConnection::Ptr& aConnection)
{
  MemberSnapshotRequest whole;
  whole.mMaxRecords = kSnapshotRecords;
  aConnection->Send(MessageKind::MemberSnapshotRequest, EncodePayload(whole));
}

template<typename T, typename Handler>
void MemberPlane::Take(Result<T> aMessage, const Handler& aHandler)
{
  if (!aMessage) {
    mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"").Add();
    return;
  }
  aHandler(*aMessage);
}

bool MemberPlane::OnFrame(const ControlConnection::Ptr& aConnection,
                          const Frame& aFrame)
{
  switch (aFrame.mKind) {
    case MessageKind::Heartbeat:
      Take(DecodeHeartbeat(aFrame.mPayload), [&](const Heartbeat& aMessage) {
        OnHeartbeat(aConnection, aMessage);
      });
      break;
    case MessageKind::MemberDelta:
      Take(DecodeMemberDelta(aFrame.mPayload),
           [&](const MemberDelta& aMessage) { OnDelta(aMessage); });
      break;
    case MessageKind::MemberDigest:
      Take(
        DecodeMemberDigest(aFrame.mPayload),
        [&](const MemberDigest& aMessage) { OnDigest(aConnection, aMessage); });
      break;
    case MessageKind::MemberSnapshotRequest:
      Take(DecodeMemberSnapshotRequest(aFrame.mPayload),
           [&](const MemberSnapshotRequest& aMessage) {
             std::lock_guard lock(mLock);
             aConnection->Send(MessageKind::MemberSnapshot,
                               EncodePayload(mTable.Snapshot(
                                 aMessage, kSnapshotRecords, mClock.Now())));
           });
      break;
    case MessageKind::MemberSnapshot:
      Take(DecodeMemberSnapshot(aFrame.mPayload),
           [&](const MemberSnapshot& aMessage) {
             std::lock_guard lock(mLock);
             mTable.OnSnapshot(aMessage, mClock.Now());
             mHasSnapshot = mHasSnapshot || !aMessage.mRecords.empty();
           });
      break;
    default:
      return false;
  }
  PublishChanges();
  return true;
}

void MemberPlane::OnHeartbeat(const ControlConnection::Ptr& aConnection,
                              const Heartbeat& aHeartbeat)
{
  std::lock_guard lock(mLock);
  Time now = mClock.Now();
  ServiceId service = aHeartbeat.mRecord.mMember.mService;
  if (mTable.OnHeartbeat(aHeartbeat, now)) {
    mAgents[aConnection.get()] = { aConnection, service };
  }
  MemberDelta answer;
  answer.mVersion = mTable.Version();
  if (mTable.ServiceDigest(service) != aHeartbeat.mServiceDigest) {
    answer = mTable.ServiceDelta(service, now);
  }
  answer.mAnswersBeat = aHeartbeat.mRecord.mBeat;
  aConnection->Send(MessageKind::MemberDelta, EncodePayload(answer));
}

void MemberPlane::OnDelta(const MemberDelta& aDelta)
{
  std::lock_guard lock(mLock);
  mTable.OnDelta(aDelta, mClock.Now());
}

void MemberPlane::OnDigest(const ControlConnection::Ptr& aConnection,
                           const MemberDigest& aDigest)
{
  std::lock_guard lock(mLock);
  for (auto request : mTable.Differences(aDigest, kDifferences)) {
    request.mMaxRecords = kSnapshotRecords;
    aConnection->Send(MessageKind::MemberSnapshotRequest,
                      EncodePayload(request));
  }
}

void MemberPlane::OnClosed(const ControlConnection::Ptr& aConnection)
{
  std::lock_guard lock(mLock);
  mAgents.erase(aConnection.get());
}

void MemberPlane::Tick()
{
  {
    std::lock_guard lock(mLock);
    Time now = mClock.Now();
    mTable.OnTick(now);
    auto changes = mTable.TakeChanges(kChangesPerTick, now);
    if (!changes.empty()) {
      MemberDelta delta;
      delta.mVersion = mTable.Version();
      delta.mRecords = std::move(changes);
      ToPeers(MessageKind::MemberDelta, EncodePayload(delta));
    }
    if (++mTicks % kTicksPerDigest == 0) {
      SendDigest();
    }
    for (std::size_t i = 0; i < mExported.size(); ++i) {
      auto event = static_cast<MemberEvent>(i);
      auto total = mTable.Count(event);
      std::string label = "event=\"" + std::string(ToString(event)) + "\"";
      mMetrics.GetCounter("membership_events_total", label)
        .Add(total - mExported[i]);
      mExported[i] = total;
    }
  }
  PublishChanges();
}

void MemberPlane::SendDigest()
{
  if (mPeers.empty()) {
    return;
  }
  // One peer a turn: repair spreads by the peers' own digests.
  auto& peer = mPeers[(mTicks / kTicksPerDigest) % mPeers.size()];
  peer->Send(MessageKind::MemberDigest, EncodePayload(mTable.Digest()));
}

void MemberPlane::ToPeers(MessageKind aKind, const Bytes& aPayload)
{
  for (const auto& it : mPeers) {
    it->Send(aKind, aPayload);
  }
}

void MemberPlane::PublishChanges()
{
  std::vector<ServiceId> changed;
  std::vector<MemberViewPtr> views;
  {
    std::lock_guard lock(mLock);
    changed = mTable.TakeChangedServices();
    for (const auto& it : changed) {
      views.push_back(mTable.View(it));
    }
    for (const auto& it : changed) {
      Bytes delta;
      for (const auto& [key, agent] : mAgents) {
        if (agent.mService != it) {
          continue;
        }
        if (delta.empty()) {
          delta = EncodePayload(mTable.ServiceDelta(it, mClock.Now()));
        }
        agent.mConnection->Send(MessageKind::MemberDelta, delta);
      }
    }
  }
  if (!changed.empty()) {
    mViewsChanged(views, changed);
  }
}

bool MemberPlane::IsUsable() const
{
  std::lock_guard lock(mLock);
  bool settled = mClock.Now() - mStartedAt >= kSettleAlone;
  return mHasSnapshot || settled;
}

std::size_t MemberPlane::Size() const
{
  std::lock_guard lock(mLock);
  return mTable.Size();
}

} // namespace heatherplank
