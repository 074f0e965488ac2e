#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/circular_buffer.hpp>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** What a message to another process is for. */
enum class TrafficCause : std::uint8_t
{
  Heartbeat,
  /** Changes, digests and snapshots of the membership. */
  View,
  /** Routes and drains, and notices of their versions. */
  Document,
  /** Records of flows, and packets whose host is looked up in them. */
  Record,
  Query,
  /** Packets without a known host, and those returned by a host's agent. */
  Search,
  /** Opening packets. */
  Offer,
  /** Packets to the host that holds their flow. */
  Forward,
  /** Reports of the host of a flow. */
  Report,
  Other,
  Last = Other,
};

/** Whether a message leaves its sender's data centre. */
enum class TrafficBoundary : std::uint8_t
{
  Own,
  Other,
  /** The receiver is not in view. */
  Unknown,
  Last = Unknown,
};

/** Names of causes and boundaries, as in metrics. */
std::string_view ToString(TrafficCause aCause);
std::string_view ToString(TrafficBoundary aBoundary);

/** Bytes and messages of one cause across one boundary. */
struct TrafficVolume
{
  std::uint64_t mBytes = 0;
  std::uint64_t mMessages = 0;
};

/** Bytes and messages per second. */
struct TrafficRate
{
  double mBytes = 0;
  double mMessages = 0;
};

/** Control traffic above the budget; bytes per second. */
struct TrafficOverrun
{
  double mControlBytes = 0;
  TrafficCause mLargestCause{};
  double mLargestCauseBytes = 0;
};

/** Counts what a process sends, by cause and boundary. No I/O or clock access;
 * not thread safe. */
class TrafficMeter
{
public:
  /** Rates are means over at least this time. */
  static constexpr Duration kWindow = std::chrono::seconds(10);
  static constexpr Duration kSnapshotInterval = std::chrono::seconds(1);
  /** The control traffic of a node, bytes per second, that CAPACITY.md allows.
   */
  static constexpr double kControlBudget = 25000;

  /** aNow: the start of the process. */
  explicit TrafficMeter(Time aNow);

  void Add(TrafficCause aCause, TrafficBoundary aBoundary, std::size_t aBytes)
  {
    TrafficVolume& volume = mTotals[CellOf(aCause, aBoundary)];
    volume.mBytes += aBytes;
    ++volume.mMessages;
  }

  /** Since the start. */
  const TrafficVolume& Total(TrafficCause aCause,
                             TrafficBoundary aBoundary) const
  {
    return mTotals[CellOf(aCause, aBoundary)];
  }

  /** Call it about once a second; rates are as precise as these calls. */
  void OnTick(Time aNow);

  /** The rate of the last 10 s. A process younger than that counts as having
   * sent nothing before its start. */
  TrafficRate Rate(TrafficCause aCause, TrafficBoundary aBoundary,
                   Time aNow) const;

  /** The bytes per second of all causes but Offer and Forward, which grow with
   * the callers' traffic. */
  double ControlRate(Time aNow) const;

  /** The overrun, if control traffic exceeds the budget and none was returned
   * for kWindow. */
  std::optional<TrafficOverrun> TakeOverrun(Time aNow);

private:
  static constexpr std::size_t kBoundaries =
    static_cast<std::size_t>(TrafficBoundary::Last) + 1;
  static constexpr std::size_t kCells =
    (static_cast<std::size_t>(TrafficCause::Last) + 1) * kBoundaries;
  /** One more than intervals in the window. */
  static constexpr std::size_t kSnapshots = kWindow / kSnapshotInterval + 1;

  using Totals = std::array<TrafficVolume, kCells>;

  struct Snapshot
  {
    Time mAt;
    Totals mTotals{};
  };

  static std::size_t CellOf(TrafficCause aCause, TrafficBoundary aBoundary)
  {
    return static_cast<std::size_t>(aCause) * kBoundaries +
           static_cast<std::size_t>(aBoundary);
  }
  /** The snapshot from which rates at aNow are calculated. */
  const Snapshot& WindowStart(Time aNow) const;
  double CauseRate(TrafficCause aCause, Time aNow) const;

  Totals mTotals{};
  /** Oldest first; never empty. */
  boost::circular_buffer<Snapshot> mSnapshots{ kSnapshots };
  std::optional<Time> mOverrunAt;
};

} // namespace heatherplank
