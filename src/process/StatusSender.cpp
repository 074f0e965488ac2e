#include "src/process/StatusSender.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

StatusReporter::Options MakeOptions(const ProcessSettings& aSettings,
                                    const std::string& aRole)
{
  StatusReporter::Options options;
  options.mProcess.mName = aSettings.mName;
  options.mProcess.mRole = aRole;
  options.mProcess.mDataCentre = aSettings.mDataCentre;
  options.mProcess.mAdmin = aSettings.mAdmin.ToString();
  return options;
}

} // namespace

std::int64_t WallClockMilliseconds()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(now).count();
}

StatusSender::StatusSender(const ProcessSettings& aSettings,
                           const std::string& aRole)
  : mName(aSettings.mName)
  , mDataCentre(MakeDataCentreId(aSettings.mDataCentre))
  , mReporter(MakeOptions(aSettings, aRole))
{
}

void StatusSender::OnInForce(std::uint64_t aVersion, Time aNow)
{
  std::lock_guard lock(mLock);
  mReporter.OnInForce(aVersion, WallClockMilliseconds(), aNow);
}

void StatusSender::Add(std::span<const PolicyFigures> aFigures)
{
  std::lock_guard lock(mLock);
  for (const auto& it : aFigures) {
    mReporter.Figures(it.mName).Add(it);
  }
}

std::optional<AddressedReport> StatusSender::Tick(
  std::span<const Member> aBalancers, Time aNow)
{
  std::vector<HostId> sameDataCentre;
  std::vector<HostId> all;
  for (const auto& it : aBalancers) {
    all.push_back(it.mHost);
    if (it.mDataCentre == mDataCentre) {
      sameDataCentre.push_back(it.mHost);
    }
  }
  const auto& candidates = sameDataCentre.empty() ? all : sameDataCentre;
  std::uint32_t shard =
    StatusShardOf(mName, CountStatusShards(candidates.size()));
  HostId aggregator = ChooseStatusAggregator(shard, candidates);
  auto it = std::find_if(
    aBalancers.begin(), aBalancers.end(),
    [&](const Member& aMember) { return aMember.mHost == aggregator; });
  if (it == aBalancers.end()) {
    return std::nullopt;
  }
  std::lock_guard lock(mLock);
  auto report = mReporter.Tick(aNow);
  if (!report) {
    return std::nullopt;
  }
  return AddressedReport{ *it, std::move(*report) };
}

} // namespace heatherplank
