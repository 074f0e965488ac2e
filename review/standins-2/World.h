#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "lab/Process.h"
#include "lab/soak/StoreStandIn.h"
#include "review/standins-2/Callers.h"
#include "review/standins-2/Fabric.h"
#include "review/standins-2/Host.h"
#include "review/standins-2/Record.h"

namespace heatherplank::review {

/** The product's processes of a small deployment, started with the commands of
 * the deploy file at loopback addresses, among stand-ins for the platform, its
 * hosts and its callers. Everything but the processes runs on one thread. */
class World
{
public:
  struct Options
  {
    /** Folder for settings and logs of the processes. */
    std::string mFolder;
    /** The product's program. */
    std::string mProgram;
    std::uint64_t mSeed = 1;
    int mFronts = 3;
    int mHosts = 10;
    /** Cold hosts bear this many requests a second, as the config says. */
    double mColdPerSecond = 0;
  };

  World(const Options& aOptions, Record& aRecord, Callers::OnReset aOnReset);
  ~World();

  /** Starts all; false if something can't be started. */
  bool Start();

  /** Waits until all fronts are in rotation; false if they are not in time. */
  bool WaitUntilReady();

  void RunFor(Duration aDuration) { mContext.run_for(aDuration); }
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  /** Opens flows of one request each at random times, aPerSecond of them. */
  void OpenSingleFlows(double aPerSecond);
  void StopTraffic();

  /** Stops a front process (SIGTERM) and starts it again when it has ended. */
  void RestartFront(int aIndex);
  /** Starts a front process that is not running. */
  void StartFront(int aIndex);
  /** When a front process was last started or asked to stop. */
  Time FrontChangedAt(const std::string& aName) const;
  bool HaveProcessesEnded();

  Host& GetHost(int aIndex)
  {
    return *mHosts[static_cast<std::size_t>(aIndex)];
  }
  std::vector<std::unique_ptr<Host>>& Hosts() { return mHosts; }
  Callers& GetCallers() { return mCallers; }
  Fabric& GetFabric() { return mFabric; }
  Address Route() const;
  std::uint64_t Random() { return mRandom(); }

private:
  struct Node
  {
    std::string mName;
    std::string mCommand;
    std::string mSettings;
    std::unique_ptr<lab::Process> mProcess;
    bool mIsStopping = false;
    Time mChangedAt{};
  };

  Address AddressOf(int aMachine, std::uint16_t aPort) const;
  void WriteConfig();
  boost::json::object CommonSettings(const std::string& aName,
                                     int aMachine) const;
  bool Launch(Node& aNode);
  bool AddFront(int aIndex);
  bool AddHost(int aIndex);
  void StartWhenEnded(int aIndex);
  void OpenNext(double aPerSecond);

  const Options mOptions;
  Record& mRecord;
  boost::asio::io_context mContext;
  std::mt19937_64 mRandom;
  const std::string mSubnet;
  lab::StoreStandIn mStore;
  Fabric mFabric;
  Callers mCallers;
  std::vector<std::unique_ptr<Node>> mFronts;
  std::vector<std::unique_ptr<Node>> mSides;
  std::vector<std::unique_ptr<Host>> mHosts;
  bool mIsTrafficOn = false;
};

} // namespace heatherplank::review
