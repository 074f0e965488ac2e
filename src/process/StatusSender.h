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

/** A status report and the balancer that keeps the board for it. */
struct AddressedReport
{
  Member mKeeper;
  StatusReport mReport;
};

/** Milliseconds since the Unix epoch. Thread safe. */
std::int64_t WallClockMilliseconds();

/** What a process tells of itself, when, and to whom. Thread safe, by its own
 * lock.
 */
class StatusSender
{
public:
  /** aRole: "balancer" or "agent". */
  StatusSender(const ProcessSettings& aSettings, const std::string& aRole);

  /** A version came into force. */
  void OnInForce(std::uint64_t aVersion, Time aNow);

  /** Adds figures to the next report. */
  void Add(std::span<const PolicyFigures> aFigures);

  /** The report, if one is due and a balancer is known to keep it: one of the
   * process's data centre, or any if that has none. Call every second. */
  std::optional<AddressedReport> Tick(std::span<const Member> aBalancers,
                                      Time aNow);

private:
  const std::string mName;
  const DataCentreId mDataCentre;
  std::mutex mLock;
  StatusReporter mReporter;
};

} // namespace heatherplank
