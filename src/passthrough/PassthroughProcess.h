#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/metrics/Metrics.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/passthrough/BalancerDirectory.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PlatformAdapter.h"
#include "src/passthrough/SteerMessages.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"
#include "src/process/DatagramMessages.h"
#include "src/process/ProcessRuntime.h"

namespace heatherplank {

/** What a balancer and an agent of opaque flows have in common: the ways to
 * other processes, to callers, to the store and to the people on call. Runs on
 * one thread.
 */
class PassthroughProcess
{
public:
  /** Whether the process is ready, and if not, why. */
  using Readiness = AdminServer::Readiness;
  using OnFrame = std::function<void(const Frame&)>;
  /** Balancers to begin with have changed. */
  using OnSeeds = std::function<void(std::vector<Address>)>;

  struct Parts
  {
    const PassthroughSettings& mSettings;
    const PlatformAdapter& mAdapter;
    HostId mSelf;
    std::uint64_t mSeed = 0;
    /** What a balancer writes into the directory; none for an agent. */
    std::optional<Address> mRegisters;
    Readiness mReady;
    OnFrame mOnFrame;
    OnSeeds mOnSeeds;
  };

  /** The settings must outlive it. */
  explicit PassthroughProcess(Parts aParts);

  /** Opens the ports for other processes and for people; System with the
   * remedy if one can't be had. */
  Result<void> Open();

  /** Reads a datagram's envelope; none, and counted, if it is malformed. */
  std::optional<Frame> Unwrap(ByteView aDatagram);
  void CountMalformed() { mMalformed.Add(); }

  void Steer(const Address& aTo, const SteeredPacket& aPacket);
  void Report(const Address& aBalancer, const PlacementReport& aReport);
  /** aCaller: the caller's end of the flow. */
  void ToCaller(const Address& aCaller, ByteView aPacket);

  /** Writes event counters as gauges, once for each value up to aLast. */
  template<typename Event, typename Count>
  void Export(const char* aName, Event aLast, Count aCount)
  {
    for (std::size_t i = 0; i <= static_cast<std::size_t>(aLast); ++i) {
      auto event = static_cast<Event>(i);
      std::string label = "event=\"";
      label.append(ToString(event)).append("\"");
      mMetrics.GetGauge(aName, label).Set(static_cast<double>(aCount(event)));
    }
  }

  /** Call it every second or so. */
  void EverySecond();

  /** Looks for balancers if aIsLost. Call it some times a second. */
  void TendDirectory(bool aIsLost, Time aNow);
  void RegisterAgain() { mDirectory->RegisterAgain(); }

  /** Seeds of the settings in force. */
  const std::vector<Address>& Seeds() const { return mSeeds; }

  /** Takes seeds over from settings that were read again; everything else is
   * bound to open ports and waits for a restart. Settings that can't be read
   * change nothing. */
  template<typename Settings>
  void OnReread(const Result<Settings>& aSettings)
  {
    if (aSettings) {
      TakeSeeds(aSettings->mSeeds);
    } else {
      RefuseSettings(aSettings.error());
    }
  }

  /** Takes the entry off the directory, and ends the process after aAfter. */
  void StopAfter(Duration aAfter);

  SteadyClock mClock;
  MetricsRegistry mMetrics;
  CutList mCuts;
  ProcessRuntime mRuntime;
  ControlLinks mLinks;
  DatagramMessages mMessages;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::unique_ptr<ObjectStore> mStore;

private:
  void TakeSeeds(const std::vector<Address>& aSeeds);
  void RefuseSettings(const Error& aWhy);

  Counter& mMalformed;
  const PassthroughSettings& mSettings;
  OnSeeds mOnSeeds;
  std::vector<Address> mSeeds;
  std::shared_ptr<BalancerDirectory> mDirectory;
  AdminServer mAdmin;
};

} // namespace heatherplank
