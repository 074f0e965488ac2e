#include "src/agent/ConfigFeed.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/base/Log.h"
#include "src/config/ConfigCodec.h"
#include "src/metrics/Metrics.h"
#include "src/process/ConfigCounterExport.h"
#include "src/process/ControlLinks.h"

namespace heatherplank {

ConfigFeed::ConfigFeed(Parts aParts, ServiceId aService,
                       std::span<const Address> aSeeds)
  : mParts(std::move(aParts))
  , mRelay(mParts.mOnChange)
  , mConfiguration({ aService })
{
  for (const auto& it : aSeeds) {
    HostId id = MakeHostId(it.ToString());
    mBalancerAddresses[id] = it;
    mConfiguration.OnConnected(id, mParts.mClock.Now());
  }
}

template<typename Change>
void ConfigFeed::Apply(const Change& aChange)
{
  std::vector<std::pair<Address, ConfigMessage>> sends;
  std::vector<ConfigurationPtr> changes;
  {
    std::lock_guard lock(mLock);
    aChange(mParts.mClock.Now());
    for (auto& it : mConfiguration.TakeActions()) {
      if (auto* send = std::get_if<ConfigSend>(&it)) {
        sends.emplace_back(mBalancerAddresses[send->mTo],
                           std::move(send->mMessage));
      } else if (auto* change = std::get_if<ConfigInForce>(&it)) {
        changes.push_back(std::move(change->mConfiguration));
      }
    }
    ExportConfigCounters(mConfiguration.Counters(), mExported, mParts.mMetrics);
  }
  for (const auto& [to, message] : sends) {
    auto encoded = EncodeConfigMessage(message);
    mParts.mLinks.Send(to, encoded.mKind, encoded.mPayload);
  }
  for (const auto& it : changes) {
    LogEvent(LogLevel::Info, "configuration_in_force",
             { { "version", it->mVersion } });
    mRelay.Deliver(it);
  }
}

bool ConfigFeed::IsKnown(const Address& aControl) const
{
  return std::any_of(mBalancerAddresses.begin(), mBalancerAddresses.end(),
                     [&](const auto& aIt) { return aIt.second == aControl; });
}

void ConfigFeed::SetBalancers(std::span<const Member> aBalancers)
{
  Apply([&](Time aNow) {
    for (const auto& it : aBalancers) {
      if (!IsKnown(it.mControl)) {
        mBalancerAddresses[it.mHost] = it.mControl;
        mConfiguration.OnConnected(it.mHost, aNow);
      }
    }
  });
}

ConfigurationPtr ConfigFeed::Current() const
{
  std::lock_guard lock(mLock);
  return mConfiguration.InForce();
}

void ConfigFeed::OnFrame(const Hello& aFrom, const Frame& aFrame)
{
  auto message = DecodeConfigMessage(aFrame);
  if (!message) {
    mParts.mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\"")
      .Add();
    return;
  }
  Apply([&](Time aNow) {
    mBalancerAddresses[aFrom.mHost] = aFrom.mControl;
    mConfiguration.OnMessage(aFrom.mHost, *message, aNow);
  });
}

void ConfigFeed::Tick()
{
  Apply([&](Time aNow) { mConfiguration.Tick(aNow); });
}

} // namespace heatherplank
