#include "src/decide/SlowStart.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace heatherplank {

namespace {

constexpr double kInitialWeight = 0.1;
constexpr std::chrono::duration<double> kWarmUpTime{ 10.0 };
constexpr double kWarmUpAnswers = 50;

double Ramp(double aProgress)
{
  return kInitialWeight +
         (1 - kInitialWeight) * std::clamp(aProgress, 0.0, 1.0);
}

class SlowStartByTime final : public SlowStart
{
public:
  void OnStart(HostId aHost, Time aNow) override { mStarts[aHost] = aNow; }
  void OnAnswer(HostId /*aHost*/) override {}
  void Remove(HostId aHost) override { mStarts.erase(aHost); }

  double Weight(HostId aHost, Time aNow) const override
  {
    auto it = mStarts.find(aHost);
    if (it == mStarts.end()) {
      return 1.0;
    }
    const std::chrono::duration<double> since = aNow - it->second;
    return Ramp(since / kWarmUpTime);
  }

private:
  std::map<HostId, Time> mStarts;
};

class SlowStartByAnswers final : public SlowStart
{
public:
  void OnStart(HostId aHost, Time /*aNow*/) override { mAnswers[aHost] = 0; }
  void Remove(HostId aHost) override { mAnswers.erase(aHost); }

  void OnAnswer(HostId aHost) override
  {
    auto it = mAnswers.find(aHost);
    if (it != mAnswers.end()) {
      ++it->second;
    }
  }

  double Weight(HostId aHost, Time /*aNow*/) const override
  {
    auto it = mAnswers.find(aHost);
    return it == mAnswers.end() ? 1.0 : Ramp(it->second / kWarmUpAnswers);
  }

private:
  std::map<HostId, std::uint32_t> mAnswers;
};

} // namespace

Result<std::unique_ptr<SlowStart>> MakeSlowStart(std::string_view aName)
{
  if (aName == "time") {
    return std::make_unique<SlowStartByTime>();
  }
  if (aName == "answers") {
    return std::make_unique<SlowStartByAnswers>();
  }
  return Fail(ErrorKind::InvalidInput,
              "unknown slow start policy \"" + std::string(aName) + "\"",
              "use \"time\" or \"answers\"");
}

} // namespace heatherplank
