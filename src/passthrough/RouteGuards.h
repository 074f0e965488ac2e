#pragma once

namespace heatherplank {

/** What keeps a balancer's routes up to date when connections are silent or
 * peers are late. All are on in production; tests switch one off to reproduce
 * the failure that it prevents. */
struct RouteGuards
{
  /** A balancer that is behind its peers reads the store: see PeerLag. */
  bool mReadIfBehindPeers = true;
  /** A balancer abandons its watch if its routes were not confirmed recently.
   */
  bool mReadIfUnconfirmed = true;
  /** The watches of a small fleet end at different times. */
  bool mStaggerWatches = true;
  /** A balancer whose routes were not confirmed recently watches the store. */
  bool mWatchIfUnconfirmed = true;
};

} // namespace heatherplank
