#include "src/steer/OwnershipCounters.h"

namespace heatherplank {

namespace {

constexpr std::array<std::string_view, kOwnershipCounts> kCountNames{
  "packets_dispatched",
  "packets_forwarded",
  "placed_at_once",
  "placed_after_asking",
  "adopted",
  "directory_full",
  "adopt_declined",
  "rounds_asked",
  "rounds_silent",
  "rounds_yielded",
  "asks_answered",
  "promises_full",
  "lapses",
  "flows_let_go",
  "flows_expired",
  "flows_evicted",
  "claims_sent",
  "claim_conflicts",
  "hand_offs_sent",
  "hand_offs_accepted",
  "hand_offs_refused",
  "flows_taken_over",
  "moved_evicted",
};

constexpr std::array<std::string_view, kOwnershipRefusals> kRefusalNames{
  "wrong_service", "no_candidate", "flow_table_full", "too_many_asks",
  "too_many_held", "peer_silent",  "peer_fenced",     "view_stale",
  "too_many_hops", "moving",
};

} // namespace

std::string_view ToString(OwnershipCount aCount)
{
  return kCountNames[static_cast<std::size_t>(aCount)];
}

std::string_view ToString(OwnershipRefusal aReason)
{
  return kRefusalNames[static_cast<std::size_t>(aReason)];
}

} // namespace heatherplank
