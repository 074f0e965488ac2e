#pragma once

#include <cstdint>
#include <string_view>

namespace heatherplank {

/** Events in the handling of packets at a balancer, each with a counter. */
enum class SteerEvent : std::uint8_t
{
  Offered,
  OfferedAgain,
  Hinted,
  /** A lookup asks the hosts. */
  Queried,
  /** A query was sent to an agent. */
  QuerySent,
  FoundByQuery,
  /** A packet was sent to hosts whose agents could not tell whether they hold
   * its flow. */
  Searched,
  /** A packet waits until it is known which services its route has left. */
  AwaitsPastServices,
  /** A flow that no host holds was reset. */
  NoHostHolds,
  /** A further packet of such a flow was answered by a reset. */
  ResetAgain,
  HeldForSearch,
  HintWrong,
  RefusedNoRoute,
  RefusedNoHost,
  RefusedByHosts,
  RefusedQuietly,
  DroppedNoRoute,
  DroppedNotReady,
  /** Records, not messages. */
  RecordsSent,
  RecordsReceived,
  /** Too many records were pending. */
  RecordsDropped,
  LocateSent,
  /** As a replica, forwarded a packet to the flow's host. */
  LocateAnswered,
  /** As a replica without a record, forwarded a packet to the other replica or
   * returned it to its sender. */
  LocateForwarded,
  /** A packet came back: no replica has a record of its flow. */
  LocateFailed,
  LocateTimedOut,
  Malformed,
  Last = Malformed,
};

std::string_view ToString(SteerEvent aEvent);

} // namespace heatherplank
