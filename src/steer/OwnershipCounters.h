#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/steer/OwnershipActions.h"

namespace heatherplank {

/** What ownership counts besides refusals. */
enum class OwnershipCount : std::uint8_t
{
  PacketsDispatched,
  PacketsForwarded,
  /** New flows placed without asking, and after it. */
  PlacedAtOnce,
  PlacedAfterAsking,
  /** Flows that this host adopted, and of these the ones for want of room in
   * the directory. */
  Adopted,
  DirectoryFull,
  /** Orders to adopt that this host turned down. */
  AdoptDeclined,
  RoundsAsked,
  RoundsSilent,
  RoundsYielded,
  AsksAnswered,
  /** Asks that were not answered, since no promise could be kept. */
  PromisesFull,
  /** Times that the trust in the view lapsed. */
  Lapses,
  /** Flows let go since another owner was found. */
  FlowsLetGo,
  FlowsExpired,
  /** Flows without an answer yet that made room for new ones. */
  FlowsEvicted,
  ClaimsSent,
  ClaimConflicts,
  HandOffsSent,
  HandOffsAccepted,
  HandOffsRefused,
  FlowsTakenOver,
  /** Traces of moved flows that made room for newer ones. */
  MovedEvicted,
};
constexpr std::size_t kOwnershipCounts = 23;

/** The name of a count, as it stands in metrics. */
std::string_view ToString(OwnershipCount aCount);

/** Counts since the start. Not thread safe. */
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
