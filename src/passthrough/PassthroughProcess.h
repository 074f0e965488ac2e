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
#include "src/passthrough/PassthroughTraffic.h"
#include "src/passthrough/PlatformAdapter.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"
#include "src/process/DatagramMessages.h"
#include "src/process/ProcessRuntime.h"
#include "src/wire/LocationMessages.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** The parts common to balancers and agents of opaque flows: connections to
 * processes, callers and the store, and the admin and metrics servers. Runs on
 * one thread. */
class PassthroughProcess
{
public:
  /** Whether the process is ready; if not, the reason. */
  using Readiness = AdminServer::Readiness;
  using OnFrame = std::function<void(const Frame&)>;
  /** The seeds or the balancers found in the directory have changed. */
  using OnSeeds = std::function<void(std::vector<Address>)>;

  struct Parts
  {
    const PassthroughSettings& mSettings;
    const PlatformAdapter& mAdapter;
    HostId mSelf;
    std::uint64_t mSeed = 0;
    /** A balancer's address for the directory; none for an agent. */
    std::optional<Address> mRegisteredAddress;
    Readiness mReady;
    OnFrame mOnFrame;
    OnSeeds mOnSeeds;
  };

  /** The settings must outlive it. */
  explicit PassthroughProcess(Parts aParts);

  /** Opens the ports for other processes and for the admin server; System with
   * the remedy if a port can't be opened. */
  Result<void> Open();

  /** Decodes a datagram's envelope; none, and counted, if it is malformed. */
  std::optional<Frame> DecodeEnvelope(ByteView aDatagram);
  void CountMalformed() { mMalformed.Add(); }

  /** Sends a message as one datagram, whatever its size. */
  void SendDatagram(const Address& aTo, MessageKind aKind, ByteView aPayload);
  void Steer(const Address& aTo, const SteeredPacket& aPacket);
  void Report(const Address& aBalancer, const PlacementReport& aReport);
  void Query(const Address& aAgent, const FlowQuery& aQuery);
  void Reply(const Address& aAsker, const FlowQueryReply& aReply);
  /** Sends to a caller; its port is replaced if the settings name another. */
  void ToCaller(const Address& aCaller, ByteView aPacket);

  /** Exports event counters as gauges, one for each event up to aLast. */
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

  /** Call it about once a second. */
  void EverySecond();

  /** Looks for balancers in the directory, and maintains the entry of this
   * process, as its situation requires. Call it several times a second. */
  void UpdateDirectory(const BalancerDirectory::Situation& aSituation,
                       Time aNow);

  /** The seeds of the settings in force. */
  const std::vector<Address>& Seeds() const { return mSeeds; }

  /** Applies the seeds of reloaded settings; all others are bound to open ports
   * and take effect at a restart. Invalid settings change nothing. */
  template<typename Settings>
  void OnSettingsReloaded(const Result<Settings>& aSettings)
  {
    if (aSettings) {
      ReplaceSeeds(aSettings->mSeeds);
    } else {
      LogRefusedSettings(aSettings.error());
    }
  }

  /** Removes the directory entry, and ends the process after aAfter. */
  void StopAfter(Duration aAfter);

  SteadyClock mClock;
  MetricsRegistry mMetrics;
  PassthroughTraffic mTraffic;
  CutList mCuts;
  ProcessRuntime mRuntime;
  ControlLinks mLinks;
  DatagramMessages mMessages;
  std::shared_ptr<DatagramSocket> mTunnel;
  std::unique_ptr<ObjectStore> mStore;

private:
  std::string Status() const;
  void ReplaceSeeds(const std::vector<Address>& aSeeds);
  void LogRefusedSettings(const Error& aWhy);

  Counter& mMalformed;
  const PassthroughSettings& mSettings;
  OnSeeds mOnSeeds;
  std::vector<Address> mSeeds;
  std::shared_ptr<BalancerDirectory> mDirectory;
  AdminServer mAdmin;
};

} // namespace heatherplank
