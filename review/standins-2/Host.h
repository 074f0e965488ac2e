#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "review/standins-2/Record.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"

namespace heatherplank::review {

/** A flow that a host accepted: its opening packet has arrived. */
struct Opening
{
  FlowKey mFlow;
  int mBoot = 0;
  Time mArrivedAt{};
  /** The host was cold. */
  bool mIsCold = false;
};

/** A host of the platform, as its protocol describes it: it answers opening
 * packets, serves requests in a few slots, returns packets of flows that it
 * does not hold, and sends pings to the node on its machine. Single-threaded.
 */
class Host
{
public:
  struct Settings
  {
    /** Each boot has an Id of its own that begins so. */
    std::string mName;
    std::string mService;
    std::string mZone;
    Address mInbox;
    Address mOutbox;
    Address mControl;
    Duration mHeartbeatInterval = std::chrono::milliseconds(1200);
    int mSlots = 2;
    Duration mWork = std::chrono::milliseconds(15);
    /** A host that started during traffic is cold for this long. */
    Duration mColdTime = std::chrono::seconds(2);
    /** How many times as long work takes while the host is cold. */
    double mColdFactor = 1.6;
  };

  Host(const boost::asio::any_io_executor& aExecutor, const Settings& aSettings,
       std::uint64_t aSeed, Record& aRecord);
  ~Host();

  Result<void> Listen();

  /** Starts a new boot, which holds no flows. */
  void Start(bool aIsDuringTraffic);
  /** Ends at once, without a word. */
  void Crash();
  /** Says that it drains. Open flows stay; each is closed with its next
   * response. */
  void Drain();

  const Settings& GetSettings() const { return mSettings; }
  bool IsAlive() const { return mAlive; }
  int Boot() const { return mBoot; }
  /** When the node first acknowledged that this boot drains. */
  std::optional<Time> DrainAcknowledgedAt() const { return mDrainAckAt; }
  /** When this boot last sent a ping. */
  Time LastPingAt() const { return mLastPingAt; }
  const std::vector<Opening>& Openings() const { return mOpenings; }
  /** Whether this boot holds the flow open at the sequence number that the
   * caller acknowledged. */
  bool HoldsOpen(const FlowKey& aFlow, std::uint32_t aHostSequence) const;

private:
  struct Flow
  {
    std::uint32_t mSequence = 0;
    std::uint32_t mCallerSequence = 0;
    /** The caller's next byte. */
    std::uint32_t mExpected = 0;
    /** This host's next byte. */
    std::uint32_t mNext = 0;
    bool mOpen = false;
    bool mBusy = false;
    bool mFinSent = false;
    bool mFinReceived = false;
    /** The last response, to send it again. */
    Bytes mLastAnswer;
    bool HasEnded() const { return mFinSent && mFinReceived; }
  };
  struct Job
  {
    FlowKey mFlow;
    std::uint32_t mSequence = 0;
  };

  void HandleDatagram(ByteView aDatagram);
  void HandleOpening(const FlowKey& aKey, std::uint32_t aSequence);
  void Send(const FlowKey& aFlow, std::uint8_t aFlags, std::uint32_t aSequence,
            std::uint32_t aAcknowledged, std::uint8_t aData = 0);
  void RunNext();
  void Answer(const Job& aJob);
  void Ping();
  bool IsCold() const;

  const Settings mSettings;
  boost::asio::any_io_executor mExecutor;
  Record& mRecord;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<HttpClient> mClient;
  boost::asio::steady_timer mPingTimer;
  std::mt19937_64 mRandom;
  std::map<FlowKey, Flow> mFlows;
  std::vector<Job> mQueue;
  int mRunning = 0;
  bool mAlive = false;
  bool mDraining = false;
  int mBoot = 0;
  std::string mId;
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  Time mColdUntil{};
  Time mLastPingAt{};
  std::optional<Time> mDrainAckAt;
  std::vector<Opening> mOpenings;
};

} // namespace heatherplank::review
