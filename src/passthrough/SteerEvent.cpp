#include "src/passthrough/SteerEvent.h"

namespace heatherplank {

std::string_view ToString(SteerEvent aEvent)
{
  switch (aEvent) {
    case SteerEvent::Offered:
      return "offered";
    case SteerEvent::OfferedAgain:
      return "offered_again";
    case SteerEvent::Hinted:
      return "hinted";
    case SteerEvent::Queried:
      return "queried";
    case SteerEvent::QuerySent:
      return "query_sent";
    case SteerEvent::FoundByQuery:
      return "found_by_query";
    case SteerEvent::AwaitsPastServices:
      return "awaits_past_services";
    case SteerEvent::NoHostHolds:
      return "no_host_holds";
    case SteerEvent::ResetAgain:
      return "reset_again";
    case SteerEvent::Searched:
      return "searched";
    case SteerEvent::HeldForSearch:
      return "held_for_search";
    case SteerEvent::HintWrong:
      return "hint_wrong";
    case SteerEvent::RefusedNoRoute:
      return "refused_no_route";
    case SteerEvent::RefusedNoHost:
      return "refused_no_host";
    case SteerEvent::RefusedByHosts:
      return "refused_by_hosts";
    case SteerEvent::RefusedQuietly:
      return "refused_quietly";
    case SteerEvent::DroppedNoRoute:
      return "dropped_no_route";
    case SteerEvent::DroppedNotReady:
      return "dropped_not_ready";
    case SteerEvent::RecordsSent:
      return "records_sent";
    case SteerEvent::RecordsReceived:
      return "records_received";
    case SteerEvent::RecordsDropped:
      return "records_dropped";
    case SteerEvent::LocateSent:
      return "locate_sent";
    case SteerEvent::LocateAnswered:
      return "locate_answered";
    case SteerEvent::LocateForwarded:
      return "locate_forwarded";
    case SteerEvent::LocateFailed:
      return "locate_failed";
    case SteerEvent::LocateTimedOut:
      return "locate_timed_out";
    case SteerEvent::Malformed:
      return "malformed";
  }
  return "unknown";
}

} // namespace heatherplank
