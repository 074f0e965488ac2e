#pragma once

namespace heatherplank {

/** Conditions under which a flow that all hosts deny counts as held nowhere.
 * All are on in production; tests switch one off to reproduce the failure that
 * it prevents. */
struct FlowQueryGuards
{
  /** Every host in view has said that it does not hold the flow. */
  bool mRequireEveryHost = true;
  /** The view contains all hosts: see ViewCompleteness. */
  bool mRequireCompleteView = true;
  /** No host was recently declared dead: it may be alive behind a cut. */
  bool mCheckRecentDeaths = true;
  /** This process has not stalled recently. */
  bool mCheckStall = true;
  /** This balancer has no unanswered opening packet of the flow. */
  bool mCheckPendingOffer = true;
  /** An excluded host is of a service that the flow's route has not had. */
  bool mCheckRouteServices = true;
  /** This balancer has known the routes since an excluded host took flows. */
  bool mCheckHostAge = true;
  /** If a host is excluded that started a moment before this balancer, all
   * hosts did, so that there were no balancers before. */
  bool mCheckCommonStart = true;
  /** No other balancer has had routes in force that this one has not had. */
  bool mCheckMissedRoutes = true;
  /** Routes that another balancer had in force before the agent of an excluded
   * host started are in force here by now. */
  bool mCheckAgentAge = true;
  /** Hosts are probed only once the services that routes have left are known:
   * see PastServiceRequests. */
  bool mAwaitPastServices = true;
};

} // namespace heatherplank
