#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/heatherplank/Types.h"
#include "lab/Await.h"
#include "lab/Ports.h"
#include "lab/Process.h"

namespace heatherplank::lab {

/** The configuration and state of one balancer or agent process; its addresses
 * stay the same across restarts. */
struct Node
{
  std::string mName;
  std::string mDataCentre;
  /** Empty for a balancer. */
  std::string mService;
  Address mTunnel;
  Address mControl;
  Address mAdmin;
  /** An agent's backend server. */
  Address mBackend;
  std::size_t mSlots = 0;
  std::unique_ptr<Process> mProcess;
  std::shared_ptr<HttpClient> mClient;
  /** SIGTERM or SIGKILL, if the lab sent it; 0 otherwise. */
  int mEndSignal = 0;
  bool mEndNoted = false;

  bool IsBalancer() const { return mService.empty(); }
};

/** Manages the real processes of a scenario: settings, starts, signals and
 * exits. Not thread safe: used only on the thread of the executor.
 */
class Fleet
{
public:
  /** Writes settings and logs to aFolder; aBin is the heatherplank binary. */
  Fleet(const boost::asio::any_io_executor& aExecutor, std::string aFolder,
        std::string aBin, Address aPlatform);

  /** Adds a process without starting it. */
  void AddBalancer(const std::string& aName, const std::string& aDataCentre);
  void AddAgent(const std::string& aName, const std::string& aDataCentre,
                const std::string& aService, const Address& aBackend,
                std::size_t aSlots);

  /** Sets "vouch_after_ms" in the settings of agents. */
  void SetConfirmAfter(Duration aAge) { mConfirmAfter = aAge; }

  /** Returns the process of that name, or null. */
  Node* Find(std::string_view aName);
  std::map<std::string, Node>& Nodes() { return mNodes; }
  const Ports& PromisedPorts() const { return mPorts; }

  /** Starts a process, after the previous one of that name has ended. */
  Awaitable<void> Start(std::string aName);

  /** Waits until a process reports ready; false if it ended or did not do so
   * within aTimeout. */
  Awaitable<bool> WaitReady(std::string aName, Duration aTimeout);

  /** Sends a signal. An exit after SIGKILL, or with code 0 after SIGTERM, does
   * not count as a crash. */
  void Signal(const std::string& aName, int aNumber);

  /** Cuts all links between two data centres. */
  Awaitable<void> Cut(std::string aOne, std::string aOther);
  /** Ends all cuts. */
  Awaitable<void> Heal();

  /** Reads a page of an admin port; returns an empty string on failure. */
  Awaitable<std::string> ReadAdmin(std::string aName, std::string aTarget);

  /** Sends SIGTERM to all processes, kills those that still run after aTimeout,
   * and returns how many were killed. */
  Awaitable<std::size_t> StopAll(Duration aTimeout);

  /** Describes the processes that exited without a signal of ours, or with an
   * error after SIGTERM. */
  std::vector<std::string> Crashes();

private:
  std::string WriteSettings(const Node& aNode) const;
  Awaitable<void> PostFault(std::string aName, std::string aTarget,
                            std::string aBody);
  std::vector<std::string> Arguments(const Node& aNode) const;
  void NoteEnd(Node& aNode);

  boost::asio::any_io_executor mExecutor;
  std::string mFolder;
  std::string mBin;
  Address mPlatform;
  std::optional<Duration> mConfirmAfter;
  Ports mPorts;
  std::map<std::string, Node> mNodes;
  std::vector<std::string> mCrashes;
};

} // namespace heatherplank::lab
