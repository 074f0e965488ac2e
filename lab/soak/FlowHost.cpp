#include "lab/soak/FlowHost.h"

#include <boost/json.hpp>

#include "lab/soak/PacketMaker.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(1000);
constexpr int kLeastWorkMs = 5;
constexpr int kMostWorkMs = 25;
/** Acknowledgements above a flow's sequence that are taken for its own. */
constexpr std::uint32_t kWindow = 76800;

} // namespace

FlowHost::FlowHost(const boost::asio::any_io_executor& aExecutor,
                   const Settings& aSettings, std::uint64_t aSeed,
                   OnPacket aOnPacket)
  : mSettings(aSettings)
  , mExecutor(aExecutor)
  , mOnPacket(std::move(aOnPacket))
  , mClient(HttpClient::Make(aExecutor, aSettings.mCalls, 1))
  , mBeatTimer(aExecutor)
  , mRandom(aSeed)
{
}

FlowHost::~FlowHost()
{
  if (mSocket) {
    mSocket->Stop();
  }
}

Result<void> FlowHost::Listen()
{
  auto socket = DatagramSocket::Make(mExecutor, mSettings.mInbox, nullptr);
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  mSocket = *socket;
  mSocket->Start([this](ByteView aDatagram, const Address&) {
    if (mAlive) {
      Take(aDatagram);
    }
  });
  return {};
}

void FlowHost::Start()
{
  mFlows.clear();
  mAlive = true;
  ++mLife;
  mBeats = 0;
  mPhase = HostPhase::Ready;
  mLeftAt.reset();
  Announce();
}

void FlowHost::Crash()
{
  mAlive = false;
  mBeatTimer.cancel();
}

void FlowHost::Drain()
{
  if (mAlive) {
    mPhase = HostPhase::Draining;
    Announce();
  }
}

int FlowHost::HoldsOpen(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return mAlive && it != mFlows.end() && it->second.mOpen ? mLife : 0;
}

void FlowHost::Take(ByteView aDatagram)
{
  auto packet = PlatformPackets().Parse(aDatagram);
  if (!packet) {
    return;
  }
  mOnPacket(aDatagram);
  FlowKey key = packet->FlowFromCaller();
  if (packet->mSyn) {
    auto [it, isNew] = mFlows.try_emplace(key);
    if (isNew) {
      it->second.mSequence = static_cast<std::uint32_t>(mRandom());
    }
    mSocket->Send(MakePacket(key.mService, key.mCaller, kSyn | kAck,
                             it->second.mSequence, packet->mSequence + 1, 0),
                  mSettings.mOutbox);
    return;
  }
  auto it = mFlows.find(key);
  bool holds = it != mFlows.end() &&
               packet->mAcknowledged - it->second.mSequence <= kWindow;
  if (!holds) {
    mSocket->Send(MakeBounced({ aDatagram.begin(), aDatagram.end() }),
                  mSettings.mOutbox);
    return;
  }
  it->second.mOpen = true;
  mHeard.insert(key);
  if (packet->mDataLength > 0) {
    Answer(key, it->second.mSequence);
  }
}

void FlowHost::Answer(const FlowKey& aFlow, std::uint32_t aSequence)
{
  auto work = std::chrono::milliseconds(
    kLeastWorkMs + static_cast<int>(mRandom() % (kMostWorkMs - kLeastWorkMs)));
  auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, work);
  timer->async_wait([this, timer, aFlow, aSequence,
                     life = mLife](boost::system::error_code aEc) {
    if (!aEc && mAlive && mLife == life) {
      mSocket->Send(
        MakePacket(aFlow.mService, aFlow.mCaller, kAck, aSequence + 1, 6, 10),
        mSettings.mOutbox);
    }
  });
}

void FlowHost::Announce()
{
  json::object body{
    { "Service", mSettings.mService },
    { "Address", mSettings.mInbox.ToString() },
    { "Zone", "z" },
    { "Version", "v1" },
    { "Slots", 2 },
    { "State", mPhase == HostPhase::Draining ? "draining" : "ready" },
    { "ColdLeftMs", 0 },
    { "Seq", ++mBeats },
    // A moment for each life; only their order matters.
    { "born", 1700000000000 + mLife },
  };
  HttpRequest request(http::verb::put, "/api/instances/" + mSettings.mName, 11);
  request.set(http::field::host, "agent");
  request.body() = json::serialize(body);
  request.prepare_payload();
  bool leaves = mPhase == HostPhase::Draining;
  mClient->Send(std::move(request), kCallTimeout,
                [this, leaves, life = mLife](Result<HttpResponse> aAnswer) {
                  bool acknowledged =
                    aAnswer && aAnswer->result() == http::status::ok;
                  if (acknowledged && leaves && life == mLife && !mLeftAt) {
                    mLeftAt = std::chrono::steady_clock::now();
                  }
                });
  AnnounceLater();
}

void FlowHost::AnnounceLater()
{
  mBeatTimer.expires_after(mSettings.mBeatEvery);
  mBeatTimer.async_wait([this](boost::system::error_code aEc) {
    if (!aEc && mAlive) {
      Announce();
    }
  });
}

} // namespace heatherplank::lab
