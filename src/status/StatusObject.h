#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** What a process says of itself. */
struct ProcessStatus
{
  std::string mName;
  /** "balancer" or "agent". */
  std::string mRole;
  std::string mDataCentre;
  /** The version in force in it; 0 while it has none. */
  std::uint64_t mVersion = 0;
  /** Since when, and when it was last heard of; milliseconds since the Unix
   * epoch. */
  std::int64_t mSinceMs = 0;
  std::int64_t mSeenMs = 0;
  /** IP:port of its admin port. */
  std::string mAdmin;

  bool operator==(const ProcessStatus&) const = default;
};

/** The value of a status object: what the processes of one shard of a data
 * centre run, and how policies fared there. It outlives the processes.
 */
struct StatusObject
{
  /** By name. */
  std::map<std::string, ProcessStatus> mProcesses;
  /** By policy. */
  std::map<std::string, PolicyFigures> mFigures;
  /** The last few writes, newest last; tells after a lost answer whether
   * figures were already added. */
  std::vector<std::string> mWrites;

  bool operator==(const StatusObject&) const = default;
};

constexpr std::string_view kStatusPrefix = "status/";

/** The key of a data centre's shard. Thread safe. */
std::string StatusKey(std::string_view aDataCentre, std::uint32_t aShard);

/** Thread safe, both. ParseStatus gives Malformed if the text is no status. */
std::string SerializeStatus(const StatusObject& aStatus);
Result<StatusObject> ParseStatus(std::string_view aText);

} // namespace heatherplank
