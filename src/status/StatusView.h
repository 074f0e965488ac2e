#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigurationHead.h"
#include "src/status/StatusObject.h"

namespace heatherplank {

/** A process in the view of `status`. */
struct ProcessView
{
  ProcessStatus mStatus;
  /** How long it has been behind the accepted version; 0 if it is not. */
  std::int64_t mLagMs = 0;
  /** Not heard of for so long that it may be gone. */
  bool mSilent = false;
};

/** What is in force where. */
struct StatusView
{
  ConfigurationHead mAccepted;
  std::vector<ProcessView> mProcesses;

  /** True if a process that is heard of runs an older version. */
  bool IsLagging() const;
};

/** Pure, as all below; thread safe. */
StatusView MakeStatusView(const ConfigurationHead& aAccepted,
                          const StatusObject& aStatus, std::int64_t aNowMs);
boost::json::object ToJson(const StatusView& aView);
std::string ToTable(const StatusView& aView);

/** Each policy's figures and its score under the weights in force. */
boost::json::object ReportToJson(const StatusObject& aStatus,
                                 const PolicyChoice& aWeights);
std::string ReportToTable(const StatusObject& aStatus,
                          const PolicyChoice& aWeights);

} // namespace heatherplank
