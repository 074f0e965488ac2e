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

/** A place for one balancer or agent process; its addresses stay the same
 * over restarts. */
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

/** The real processes of a scenario: their settings, starts, signals and
 * ends. Not thread safe: belongs to an executor of one thread.
 */
class Fleet
{
public:
  /** Settings and logs go into aFolder; aBin is the heatherplank binary. */
  Fleet(const boost::asio::any_io_executor& aExecutor, std::string aFolder,
        std::string aBin, Address aPlatform);

  /** Makes a place; nothing starts yet. */
  void AddBalancer(const std::string& aName, const std::string& aDataCentre);
  void AddAgent(const std::string& aName, const std::string& aDataCentre,
                const std::string& aService, const Address& aBackend,
                std::size_t aSlots);

  /** Agents get this for "vouch_after_ms" instead of the default. */
  void SetConfirmAfter(Duration aAge) { mConfirmAfter = aAge; }

  /** The place of that name, or null. */
  Node* Find(std::string_view aName);
  std::map<std::string, Node>& Nodes() { return mNodes; }
  const Ports& PromisedPorts() const { return mPorts; }

  /** Starts a process, if need be once the one before has ended. */
  Awaitable<void> Start(std::string aName);

  /** Waits until a process says that it is ready; false if it ended or has
   * not within aTimeout. */
  Awaitable<bool> WaitReady(std::string aName, Duration aTimeout);

  /** Sends a signal. Any end after SIGKILL, and an orderly one after SIGTERM,
   * is no crash. */
  void Signal(const std::string& aName, int aNumber);

  /** Cuts all processes of two data centres off from each other. */
  Awaitable<void> Cut(std::string aOne, std::string aOther);
  /** Ends all cuts. */
  Awaitable<void> Heal();

  /** Reads a JSON or text page of an admin port; empty if it fails. */
  Awaitable<std::string> ReadAdmin(std::string aName, std::string aTarget);

  /** Asks all to stop; kills those that have not after aTimeout, and gives
   * how many that were. */
  Awaitable<std::size_t> StopAll(Duration aTimeout);

  /** Processes that ended unasked, or in disorder when they were asked to stop:
   * name and how. */
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
