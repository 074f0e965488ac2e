#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigurationHead.h"
#include "src/status/StatusObject.h"

namespace heatherplank {

/** Status of a process, as shown by the `status` command. */
struct ProcessView
{
  ProcessStatus mStatus;
  /** Time since the accepted version was accepted; 0 if the process runs it. */
  std::int64_t mLagMs = 0;
  /** True if the process sent no report for 3 minutes and may have stopped. */
  bool mIsUnresponsive = false;
};

/** The accepted configuration, and the version in force in each process. */
struct StatusView
{
  ConfigurationHead mAccepted;
  std::vector<ProcessView> mProcesses;

  /** True if a responsive process runs an older version. */
  bool IsLagging() const;
};

/** No I/O or clock access, as all below; thread safe. */
StatusView MakeStatusView(const ConfigurationHead& aAccepted,
                          const StatusObject& aStatus, std::int64_t aNowMs);
boost::json::object ToJson(const StatusView& aView);
std::string ToTable(const StatusView& aView);

/** The figures of each policy, and its score under the weights in force. */
boost::json::object ReportToJson(const StatusObject& aStatus,
                                 const PolicyChoice& aWeights);
std::string ReportToTable(const StatusObject& aStatus,
                          const PolicyChoice& aWeights);

} // namespace heatherplank
