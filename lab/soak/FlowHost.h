#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"
#include "src/passthrough/HostAnnouncement.h"

namespace heatherplank::lab {

/** A host as the platform's contract has it, in the lab's own process: opens a
 * flow for each opening packet, answers each request after some work, returns
 * what it does not hold, announces itself to its agent. Runs on one thread,
 * that of its executor.
 */
class FlowHost
{
public:
  struct Settings
  {
    std::string mName;
    std::string mService;
    /** Where it takes packets, and where it sends them and its calls to. */
    Address mInbox;
    Address mOutbox;
    Address mCalls;
    Duration mBeatEvery = std::chrono::milliseconds(400);
  };
  /** Called for each packet that reaches it, before it acts on it. */
  using OnPacket = std::function<void(ByteView)>;

  FlowHost(const boost::asio::any_io_executor& aExecutor,
           const Settings& aSettings, std::uint64_t aSeed, OnPacket aOnPacket);
  ~FlowHost();

  Result<void> Listen();

  /** Begins a life: holds nothing from before. */
  void Start();
  /** Ends at once, without a word. */
  void Crash();
  /** Says that it leaves; keeps its flows. */
  void Drain();

  bool IsAlive() const { return mAlive; }
  /** Counts its lives. */
  int Life() const { return mLife; }
  /** When its agent acknowledged that it leaves. */
  std::optional<Time> LeftAt() const { return mLeftAt; }
  const std::string& Service() const { return mSettings.mService; }

  /** The life that holds a flow openly, or 0. */
  int HoldsOpen(const FlowKey& aFlow) const;
  bool Knows(const FlowKey& aFlow) const { return mFlows.contains(aFlow); }
  /** Whether a packet of a flow that it holds came since ForgetHeard. */
  bool Heard(const FlowKey& aFlow) const { return mHeard.contains(aFlow); }
  void ForgetHeard() { mHeard.clear(); }

private:
  struct Flow
  {
    std::uint32_t mSequence = 0;
    bool mOpen = false;
  };

  void Take(ByteView aDatagram);
  void Answer(const FlowKey& aFlow, std::uint32_t aSequence);
  void Announce();
  void AnnounceLater();

  const Settings mSettings;
  boost::asio::any_io_executor mExecutor;
  OnPacket mOnPacket;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<HttpClient> mClient;
  boost::asio::steady_timer mBeatTimer;
  std::mt19937_64 mRandom;
  std::map<FlowKey, Flow> mFlows;
  std::set<FlowKey> mHeard;
  bool mAlive = false;
  int mLife = 0;
  std::uint64_t mBeats = 0;
  HostPhase mPhase = HostPhase::Ready;
  std::optional<Time> mLeftAt;
};

} // namespace heatherplank::lab
