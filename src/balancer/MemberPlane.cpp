#include "src/balancer/MemberPlane.h"

#include <set>
#include <string>
#include <utility>

#include "src/metrics/Metrics.h"
#include "src/process/MessageSender.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

/** Checks hosts against the inventory in force. Before the first inventory all
 * hosts are admitted, to be checked once it arrives: a balancer that starts
 * during a platform outage discovers its peers through this membership, and
 * receives the inventory from them. */
class MemberPlane::ConfiguredInventory final : public InventoryCheck
{
public:
  bool Allows(const Member& aMember) const override
  {
    return !mIsSet || mHosts.contains({ aMember.mHost, aMember.mService });
  }

  void Set(const Configuration& aConfiguration)
  {
    mIsSet = true;
    mHosts.clear();
    for (const auto& [id, service] : aConfiguration.mServices) {
      for (const auto& host : service.mHosts) {
        mHosts.insert({ MakeHostId(host.mName), id });
      }
    }
  }

private:
  bool mIsSet = false;
  std::set<std::pair<HostId, ServiceId>> mHosts;
};

BalancerMembershipOptions MemberPlane::DefaultOptions(
  std::vector<Address> aSeeds)
{
  BalancerMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  // A host is suspected after three heartbeats (0.9 s): from then on its
  // callers are refused, within the second that they wait. It is declared dead
  // 2.1 s later. By then it has stopped dispatching, since agents trust a view
  // for 2 s.
  options.mTable.mSuspectTimeout = std::chrono::milliseconds(900);
  options.mTable.mRefutationTimeout = std::chrono::milliseconds(2100);
  // Ranks use the full weight, since a growing weight would move the arbiters
  // of flows during a host's start. Agents apply slow start instead.
  options.mTable.mSlowStartDuration = Duration::zero();
  return options;
}

MemberPlane::MemberPlane(Parts aParts, const Member& aSelf,
                         const BalancerMembershipOptions& aOptions)
  : mParts(std::move(aParts))
  , mInventory(std::make_unique<ConfiguredInventory>())
  , mSelf(aSelf.mHost)
  , mMembership(aSelf, *mInventory, aOptions,
                MixHash(aSelf.mHost.mValue, aSelf.mIncarnation),
                mParts.mClock.Now())
  , mExported(static_cast<std::size_t>(MemberEvent::Last) + 1)
{
}

MemberPlane::~MemberPlane() = default;

void MemberPlane::SetConfiguration(const Configuration& aConfiguration)
{
  {
    std::lock_guard lock(mLock);
    mInventory->Set(aConfiguration);
    mMembership.OnInventory(mParts.mClock.Now());
  }
  Flush();
}

void MemberPlane::OnFrame(const Frame& aFrame)
{
  auto message = DecodeMembership(aFrame);
  if (!message) {
    mParts.mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"")
      .Add();
    return;
  }
  {
    std::lock_guard lock(mLock);
    mMembership.OnMessage(*message, mParts.mClock.Now());
  }
  Flush();
}

void MemberPlane::Tick()
{
  {
    std::lock_guard lock(mLock);
    mMembership.OnTick(mParts.mClock.Now());
    ExportCounters();
  }
  Flush();
}

void MemberPlane::SetSeeds(std::vector<Address> aSeeds)
{
  std::lock_guard lock(mLock);
  mMembership.SetSeeds(std::move(aSeeds));
}

std::vector<Member> MemberPlane::RequestHeartbeats(std::size_t aCount)
{
  std::vector<Member> queried;
  {
    std::lock_guard lock(mLock);
    queried = mMembership.RequestHeartbeats(aCount, mParts.mClock.Now());
  }
  Flush();
  return queried;
}

void MemberPlane::Leave()
{
  {
    std::lock_guard lock(mLock);
    mMembership.Leave(mParts.mClock.Now());
  }
  Flush();
}

void MemberPlane::Flush()
{
  std::vector<SendMembership> actions;
  std::vector<ServiceId> changed;
  std::vector<MemberViewPtr> views;
  {
    std::lock_guard lock(mLock);
    actions = mMembership.TakeActions();
    changed = mMembership.Hosts().TakeChangedServices();
    for (const auto& it : changed) {
      views.push_back(mMembership.Hosts().View(it));
    }
  }
  for (const auto& it : actions) {
    auto encoded = EncodeMembership(it.mMessage);
    mParts.mLinks.Send(it.mTo, encoded.mKind, encoded.mPayload);
  }
  if (!changed.empty()) {
    mParts.mViewsChanged(views, changed);
  }
}

void MemberPlane::ExportCounters()
{
  for (std::size_t i = 0; i < mExported.size(); ++i) {
    auto event = static_cast<MemberEvent>(i);
    auto total = mMembership.Hosts().Count(event);
    std::string label = "event=\"";
    label.append(ToString(event)).append("\"");
    mParts.mMetrics.GetCounter("membership_events_total", label)
      .Add(total - mExported[i]);
    mExported[i] = total;
  }
}

MembershipReadiness MemberPlane::Readiness() const
{
  std::lock_guard lock(mLock);
  return mMembership.Readiness();
}

std::vector<Member> MemberPlane::Balancers() const
{
  std::lock_guard lock(mLock);
  auto all = mMembership.Balancers().View(BalancerService())->mMembers;
  std::erase_if(all,
                [&](const Member& aMember) { return aMember.mHost == mSelf; });
  return all;
}

bool MemberPlane::HasRecentDeath(Duration aWithin) const
{
  std::lock_guard lock(mLock);
  return mMembership.Hosts().HasRecentDeath(aWithin, mParts.mClock.Now());
}

std::size_t MemberPlane::Size() const
{
  std::lock_guard lock(mLock);
  return mMembership.Hosts().Size();
}

std::size_t MemberPlane::MonitoredCount() const
{
  std::lock_guard lock(mLock);
  return mMembership.Hosts().MonitoredCount();
}

} // namespace heatherplank
