#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/membership/MemberTable.h"
#include "src/net/ControlConnection.h"

namespace heatherplank {

class ControlClient;
class MetricsRegistry;

/** A balancer's membership over the wire: heartbeats in from agents, changes to
 * and from other balancers, views out to agents. Decisions are MemberTable's.
 * Thread safe, by one lock: a few hundred messages a second.
 */
class MemberPlane
{
public:
  /** Called with no lock held when views of services changed. */
  using ViewsChanged = std::function<void(std::span<const MemberViewPtr>,
                                          std::span<const ServiceId>)>;

  MemberPlane(const Clock& aClock, MetricsRegistry& aMetrics,
              ViewsChanged aViewsChanged);
  ~MemberPlane();

  /** The other balancers that changes are sent to. Precondition: called once,
   * before anything else. */
  void SetPeers(std::vector<std::shared_ptr<ControlClient>> aPeers);

  /** Applies an inventory: hosts that it does not give their service to are
   * refused from now on. */
  void SetConfiguration(const ConfigurationPtr& aConfiguration);

  /** A peer was reached: asks it for its whole table. */
  void OnPeerConnected(const ControlConnection::Ptr& aConnection);

  /** Takes a frame of a membership kind from any connection; false if it is of
   * another kind. Malformed ones are counted. */
  bool OnFrame(const ControlConnection::Ptr& aConnection, const Frame& aFrame);

  void OnClosed(const ControlConnection::Ptr& aConnection);

  /** Call every 100 ms. */
  void Tick();

  /** Enough is known to steer by: a peer gave its table, or none can be
   * reached and heartbeats had time to come in. */
  bool IsUsable() const;

  /** Members in view. */
  std::size_t Size() const;

private:
  class ConfiguredInventory;
  struct AgentConnection
  {
    ControlConnection::Ptr mConnection;
    ServiceId mService;
  };

  void OnHeartbeat(const ControlConnection::Ptr& aConnection,
                   const Heartbeat& aHeartbeat);
  void OnDelta(const MemberDelta& aDelta);
  void OnDigest(const ControlConnection::Ptr& aConnection,
                const MemberDigest& aDigest);
  void PublishChanges();
  void SendDigest();
  void ToPeers(MessageKind aKind, const Bytes& aPayload);
  template<typename T, typename Handler>
  void Take(Result<T> aMessage, const Handler& aHandler);

  const Clock& mClock;
  MetricsRegistry& mMetrics;
  ViewsChanged mViewsChanged;
  std::vector<std::shared_ptr<ControlClient>> mPeers;
  std::unique_ptr<ConfiguredInventory> mInventory;
  mutable std::mutex mLock;
  MemberTable mTable;
  std::map<const ControlConnection*, AgentConnection> mAgents;
  Time mStartedAt;
  bool mHasSnapshot = false;
  std::uint64_t mTicks = 0;
  std::vector<std::uint64_t> mExported;
};

} // namespace heatherplank
