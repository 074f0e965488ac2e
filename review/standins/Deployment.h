#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "lab/Process.h"
#include "lab/soak/StoreStandIn.h"
#include "review/standins/Clients.h"
#include "review/standins/Host.h"
#include "review/standins/Record.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"

namespace heatherplank::review {

/** A small deployment: one balancer in each of three zones, hosts of two
 * services with an agent each, the store, routers and clients. The programs run
 * as in the deploy file, with settings filled into its templates; the rest are
 * stand-ins on one thread. Every address is a loopback address. */
class Deployment
{
public:
  struct Options
  {
    /** The program, the repository's root and a temporary folder. */
    std::string mProgram;
    std::string mRoot;
    std::string mFolder;
    int mDeskHosts = 4;
    int mArchiveHosts = 2;
    /** How long a draining host serves after the acknowledgement. */
    Duration mServesAfterDrain = std::chrono::milliseconds(6000);
    Duration mWork = std::chrono::milliseconds(20);
    /** Weight of service "archive" on route 1, of 100, at the start. */
    int mArchiveWeight = 0;
    /** The zone of the clients; it has one balancer, of this index. */
    std::size_t mClientZone = 0;
  };
  struct Node
  {
    std::string mName;
    std::string mCommand;
    std::string mIp;
    std::string mSettings;
    std::unique_ptr<lab::Process> mProcess;
    /** SIGTERM was sent; the platform starts the process again. */
    bool mRestarts = false;
    int mStarts = 0;
    Time mStartedAt{};
    std::shared_ptr<HttpClient> mReady;
    int mMisses = 0;
    bool mIsReady = false;
  };

  Deployment(const Options& aOptions, Record& aRecord,
             Host::Observer aHostObserver, Clients::Observer aClientObserver);
  ~Deployment();

  /** Starts everything and waits until the balancers are in rotation. False if
   * that fails. */
  bool Start();
  void RunFor(Duration aSpan) { mContext.run_for(aSpan); }
  /** Runs until aCondition holds; false after aLimit. */
  bool RunUntil(const std::function<bool()>& aCondition, Duration aLimit);
  void After(Duration aDelay, std::function<void()> aTask);
  void Every(Duration aInterval, std::function<bool()> aTask);

  /** A planned restart: SIGTERM, SIGKILL after the grace period, and a start
   * after a short delay. */
  void Restart(Node& aNode);
  /** Whether every process runs, apart from planned restarts. */
  bool AllRun();

  Node& Balancer(std::size_t aIndex) { return *mBalancers[aIndex]; }
  Node& Agent(std::size_t aIndex) { return *mAgents[aIndex]; }
  Host& HostAt(std::size_t aIndex) { return *mHosts[aIndex]; }
  std::size_t HostCount() const { return mHosts.size(); }
  Clients& Callers() { return *mClients; }
  /** The address of route 1 (service "desk") or 2 (service "archive"). */
  Address Route(int aIndex) const;
  boost::asio::io_context& Context() { return mContext; }
  void WriteConfig(int aVersion, int aArchiveWeight);

private:
  Address At(int aMachine, std::uint16_t aPort) const;
  std::string IpOf(int aMachine) const;
  std::string Fill(const std::string& aTemplate, int aMachine,
                   const std::string& aName, const std::string& aZone,
                   const std::string& aService) const;
  std::unique_ptr<Node> MakeNode(const std::string& aName,
                                 const std::string& aCommand,
                                 const std::string& aTemplate, int aMachine,
                                 const std::string& aZone,
                                 const std::string& aService);
  bool Launch(Node& aNode);
  void Probe(Node& aBalancer);
  void Supervise();
  void SendThroughRouter(const FlowKey& aFlow, const Bytes& aPacket);

  const Options mOptions;
  Record& mRecord;
  boost::asio::io_context mContext;
  std::string mSubnet;
  lab::StoreStandIn mStore;
  std::vector<std::unique_ptr<Node>> mBalancers;
  std::vector<std::unique_ptr<Node>> mAgents;
  std::vector<std::unique_ptr<Host>> mHosts;
  Host::Observer mHostObserver;
  Clients::Observer mClientObserver;
  std::unique_ptr<Clients> mClients;
  std::shared_ptr<DatagramSocket> mRouter;
};

} // namespace heatherplank::review
