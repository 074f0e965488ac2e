#include "src/balancer/ConfigPlane.h"

#include <utility>
#include <variant>

#include "src/base/Log.h"
#include "src/config/ConfigCodec.h"
#include "src/metrics/Metrics.h"
#include "src/process/ConfigCounterExport.h"
#include "src/process/ControlLinks.h"

namespace heatherplank {

namespace {

ConfigDistribution::Options MakeOptions(const Member& aSelf)
{
  ConfigDistribution::Options options;
  options.mSelf = { aSelf.mHost, aSelf.mDataCentre };
  options.mSeed = MixHash(aSelf.mHost.mValue, aSelf.mIncarnation);
  return options;
}

} // namespace

ConfigPlane::ConfigPlane(Parts aParts, const Member& aSelf)
  : mParts(std::move(aParts))
  , mRelay(mParts.mOnChange)
  , mDistribution(MakeOptions(aSelf), mParts.mClock.Now())
{
}

template<typename Change>
void ConfigPlane::Update(const Change& aChange)
{
  std::vector<ConfigAction> actions;
  {
    std::lock_guard lock(mLock);
    aChange(mParts.mClock.Now());
    actions = mDistribution.TakeActions();
    ExportCounters();
  }
  for (const auto& it : actions) {
    std::visit([this](const auto& aAction) { this->Perform(aAction); }, it);
  }
}

void ConfigPlane::SetPeers(std::span<const Member> aPeers)
{
  Update([&](Time) {
    std::vector<ConfigPeer> peers;
    for (const auto& it : aPeers) {
      peers.push_back({ it.mHost, it.mDataCentre });
      mAddresses[it.mHost] = it.mControl;
    }
    mDistribution.SetPeers(peers);
  });
}

ConfigurationPtr ConfigPlane::Current() const
{
  std::lock_guard lock(mLock);
  return mDistribution.InForce();
}

void ConfigPlane::OnFrame(const Hello& aFrom, const Frame& aFrame)
{
  auto message = DecodeConfigMessage(aFrame);
  if (!message) {
    mParts.mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"")
      .Add();
    return;
  }
  Update([&](Time aNow) {
    mAddresses[aFrom.mHost] = aFrom.mControl;
    mDistribution.OnMessage(aFrom.mHost, *message, aNow);
  });
}

void ConfigPlane::OnAgentGone(HostId aAgent)
{
  Update([&](Time) { mDistribution.OnAgentGone(aAgent); });
}

void ConfigPlane::Tick()
{
  Update([&](Time aNow) { mDistribution.Tick(aNow); });
}

void ConfigPlane::Perform(const ConfigSend& aAction)
{
  Address to;
  {
    std::lock_guard lock(mLock);
    auto it = mAddresses.find(aAction.mTo);
    if (it == mAddresses.end()) {
      return;
    }
    to = it->second;
  }
  auto encoded = EncodeConfigMessage(aAction.mMessage);
  mParts.mLinks.Send(to, encoded.mKind, encoded.mPayload);
}

void ConfigPlane::Perform(const ConfigWatch& aAction)
{
  mParts.mStore.Watch(config_keys::kHead, aAction.mAfter, aAction.mWait,
                      [this](Result<std::optional<Object>> aResult) {
                        Update([&](Time aNow) {
                          mDistribution.OnWatched(std::move(aResult), aNow);
                          mDistribution.Tick(aNow);
                        });
                      });
}

void ConfigPlane::Perform(const ConfigFetch& aAction)
{
  mParts.mStore.Get(aAction.mKey,
                    [this, hash = aAction.mHash](Result<Object> aResult) {
                      Update([&](Time aNow) {
                        mDistribution.OnFetched(hash, std::move(aResult), aNow);
                        mDistribution.Tick(aNow);
                      });
                    });
}

void ConfigPlane::Perform(const ConfigInForce& aAction)
{
  LogEvent(LogLevel::Info, "configuration_in_force",
           { { "version", aAction.mConfiguration->mVersion } });
  mRelay.Deliver(aAction.mConfiguration);
}

void ConfigPlane::ExportCounters()
{
  ExportConfigCounters(mDistribution.Counters(), mExported, mParts.mMetrics);
}

} // namespace heatherplank
