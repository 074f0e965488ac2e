#pragma once

#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Member.h"
#include "src/settings/ProcessSettings.h"
#include "src/status/StatusReporter.h"

namespace heatherplank {

/** A status report and the balancer whose status board receives it. */
struct AddressedReport
{
  Member mStoringBalancer;
  StatusReport mReport;
};

/** Milliseconds since the Unix epoch. Thread safe. */
std::int64_t WallClockMilliseconds();

/** Builds a process's status reports and selects the balancer that receives
 * them. Thread safe.
 */
class StatusSender
{
public:
  /** aRole: "balancer" or "agent". */
  StatusSender(const ProcessSettings& aSettings, const std::string& aRole);

  /** Records that a configuration version came into force. */
  void OnInForce(std::uint64_t aVersion, Time aNow);

  /** Adds policy figures to the next report. */
  void Add(std::span<const PolicyFigures> aFigures);

  /** Returns the report if one is due and a balancer is known to receive it:
   * one of the process's data centre, or any if that has none. Call every
   * second. */
  std::optional<AddressedReport> Tick(std::span<const Member> aBalancers,
                                      Time aNow);

private:
  const std::string mName;
  const DataCentreId mDataCentre;
  std::mutex mLock;
  StatusReporter mReporter;
};

} // namespace heatherplank
