#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/passthrough/PastServiceNotices.h"
#include "src/passthrough/PastServiceRequests.h"
#include "src/passthrough/RouteServices.h"
#include "src/wire/InventoryMessages.h"

namespace heatherplank {

class MessageSender;

/** Exchanges with other balancers and with agents which services routes have
 * left. Connects PastServiceRequests and PastServiceNotices to the network and
 * to a balancer's RouteServices. No clock access; not thread safe. */
class PastServiceExchange
{
public:
  struct Options
  {
    /** This balancer's control address. */
    Address mSelf;
    /** Capacity of this balancer's link, bytes per second. */
    double mLinkBytesPerSecond = 0;
    std::uint64_t mSeed = 1;
  };

  /** aMessages and aServices must outlive this object. */
  PastServiceExchange(const Options& aOptions, MessageSender& aMessages,
                      RouteServices& aServices);

  /** Routes came into force here. */
  void OnRoutes(std::uint64_t aVersion, Time aNow);

  /** The newest version that was in force at another balancer but not here,
   * though an older one was: see RouteVersions::NewestSkipped. */
  void SetNewestSkipped(std::uint64_t aVersion, Time aNow);

  /** An agent has sent a heartbeat to this balancer. */
  void OnHeartbeat(const Member& aAgent, Time aNow)
  {
    mNotices.OnHeartbeat(aAgent, aNow);
  }

  void OnRequest(const PastServicesRequest& aRequest, Time aNow);
  void OnList(const PastServices& aList, Time aNow);

  /** Call about every 50 ms, with the other balancers and the hosts in view. */
  void OnTick(std::span<const Member> aBalancers,
              const std::unordered_map<HostId, Member>& aHosts, Time aNow);

  /** See PastServiceRequests. */
  KnownPast Known(Time aNow) const { return mRequests.Known(aNow); }

private:
  PastServices MakeList(ServiceId aOnly, Time aNow) const;

  const Options mOptions;
  MessageSender& mMessages;
  RouteServices& mServices;
  PastServiceRequests mRequests;
  PastServiceNotices mNotices;
  std::uint64_t mVersion = 0;
  std::uint64_t mNewestSkipped = 0;
  /** Since when this balancer, or those from whom it has its list, have
   * followed the routes; unset before any routes. */
  std::optional<Time> mKnownSince;
};

} // namespace heatherplank
