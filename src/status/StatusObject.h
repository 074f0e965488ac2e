#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** Status of a process as it reports it. */
struct ProcessStatus
{
  std::string mName;
  /** "balancer" or "agent". */
  std::string mRole;
  std::string mDataCentre;
  /** Version of the configuration in force in the process; 0 if none. */
  std::uint64_t mVersion = 0;
  /** When mVersion came into force; milliseconds since the Unix epoch. */
  std::int64_t mInForceSinceMs = 0;
  /** When the last report was received; milliseconds since the Unix epoch. */
  std::int64_t mLastReportMs = 0;
  /** Address of the admin port, as IP:port. */
  std::string mAdmin;

  bool operator==(const ProcessStatus&) const = default;
};

/** The value of a status object: the status of the processes in one shard of a
 * data centre, and the statistics of policies there. It outlives the processes.
 */
struct StatusObject
{
  /** By process name. */
  std::map<std::string, ProcessStatus> mProcesses;
  /** By policy name. */
  std::map<std::string, PolicyFigures> mFigures;
  /** Ids of the last writes, newest last. They show whether a write whose reply
   * was lost took effect. */
  std::vector<std::string> mWrites;

  bool operator==(const StatusObject&) const = default;
};

constexpr std::string_view kStatusPrefix = "status/";

/** The key of the status object for a shard of a data centre. Thread safe. */
std::string StatusKey(std::string_view aDataCentre, std::uint32_t aShard);

/** ParseStatus returns Malformed if the text is not a status object. Both are
 * thread safe. */
std::string SerializeStatus(const StatusObject& aStatus);
Result<StatusObject> ParseStatus(std::string_view aText);

} // namespace heatherplank
