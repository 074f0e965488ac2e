#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/steer/OwnershipActions.h"

namespace heatherplank {

/** Counters of ownership other than refusals. */
enum class OwnershipCount : std::uint8_t
{
  PacketsDispatched,
  PacketsForwarded,
  /** New flows placed without a query, and after one. */
  PlacedAtOnce,
  PlacedAfterAsking,
  /** Flows that this host adopted. DirectoryFull: failures to add a directory
   * entry because the directory was full. */
  Adopted,
  DirectoryFull,
  /** Orders to adopt that this host declined. */
  AdoptDeclined,
  /** Query rounds that were started; that ended because a live peer did not
   * reply; that ended because a peer's concurrent query took precedence. */
  RoundsAsked,
  RoundsSilent,
  RoundsYielded,
  /** Replies to queries of other agents. */
  AsksAnswered,
  /** Promises that were not made because the table was full; the query or the
   * hand-off got no reply. */
  PromisesFull,
  /** Times that the lease expired. */
  Lapses,
  /** Flows that were released because another host owns them. */
  FlowsReleased,
  FlowsExpired,
  /** Flows that were never answered and were evicted for new ones. */
  FlowsEvicted,
  ClaimsSent,
  ClaimConflicts,
  HandOffsSent,
  HandOffsAccepted,
  HandOffsRefused,
  FlowsTakenOver,
  /** Records of moved flows that were evicted for newer ones. */
  MovedEvicted,
};
constexpr std::size_t kOwnershipCounts = 23;

/** The name of a counter in metrics. */
std::string_view ToString(OwnershipCount aCount);

/** Counter values since the start. Not thread safe. */
struct OwnershipCounters
{
  std::array<std::uint64_t, kOwnershipCounts> mCounts{};
  std::array<std::uint64_t, kOwnershipRefusals> mRefusals{};

  std::uint64_t& operator[](OwnershipCount aCount)
  {
    return mCounts[static_cast<std::size_t>(aCount)];
  }
  std::uint64_t& operator[](OwnershipRefusal aReason)
  {
    return mRefusals[static_cast<std::size_t>(aReason)];
  }
};

} // namespace heatherplank
