#include "src/passthrough/PassthroughProcess.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "src/base/Log.h"
#include "src/process/ProcessPorts.h"
#include "src/wire/LocationCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

PassthroughProcess::PassthroughProcess(Parts aParts)
  : mTraffic(mMetrics, MakeDataCentreId(aParts.mSettings.mDataCentre),
             mClock.Now())
  , mLinks({ mRuntime.Executor(), mClock, mMetrics, mCuts, &mTraffic },
           { aParts.mSelf, aParts.mSettings.mControl },
           [onFrame = std::move(aParts.mOnFrame)](
             const Hello&, const Frame& aFrame) { onFrame(aFrame); })
  , mMessages(mLinks, &mTraffic)
  , mStore(aParts.mAdapter.MakeStore(mRuntime.Executor(),
                                     aParts.mSettings.mPlatform))
  , mMalformed(
      mMetrics.GetCounter("messages_refused_total", "reason=\"malformed\""))
  , mSettings(aParts.mSettings)
  , mOnSeeds(std::move(aParts.mOnSeeds))
  , mSeeds(aParts.mSettings.mSeeds)
  , mDirectory(BalancerDirectory::Make(
      *mStore,
      { aParts.mSettings.mDirectory, aParts.mRegisteredAddress, aParts.mSeed },
      [this](std::vector<Address> aFound) {
        for (const Address& it : mSeeds) {
          if (std::ranges::count(aFound, it) == 0) {
            aFound.push_back(it);
          }
        }
        mOnSeeds(std::move(aFound));
      }))
  , mAdmin(mMetrics, std::move(aParts.mReady))
{
}

Result<void> PassthroughProcess::Open()
{
  auto executor = mRuntime.Executor();
  auto tunnel = OpenPorts({ executor, mSettings.mTunnel, mCuts, mLinks, mAdmin,
                            mSettings.mFaultInjection });
  if (!tunnel) {
    return tl::unexpected(tunnel.error());
  }
  mTunnel = *tunnel;
  mMessages.SetSocket(mTunnel);
  mAdmin.Mount("/status", [this](const HttpRequest& aRequest,
                                 const HttpServer::Respond& aRespond) {
    aRespond(
      MakeResponse(aRequest, http::status::ok, "application/json", Status()));
  });
  auto admin = mAdmin.Start(executor, mSettings.mAdmin);
  if (!admin || mSettings.mMetrics.IsNone()) {
    return admin;
  }
  return mAdmin.Start(executor, mSettings.mMetrics);
}

std::optional<Frame> PassthroughProcess::DecodeEnvelope(ByteView aDatagram)
{
  auto frame = DecodeDatagram(aDatagram);
  if (!frame) {
    CountMalformed();
    return std::nullopt;
  }
  return *frame;
}

void PassthroughProcess::SendDatagram(const Address& aTo, MessageKind aKind,
                                      ByteView aPayload)
{
  Bytes datagram = EncodeDatagram(aKind, aPayload);
  if (mTunnel->Send(datagram, aTo)) {
    mTraffic.OnSent(aTo, aKind, datagram.size());
  }
}

void PassthroughProcess::Steer(const Address& aTo, const SteeredPacket& aPacket)
{
  Bytes datagram =
    EncodeDatagram(MessageKind::SteeredPacket, EncodePayload(aPacket));
  if (mTunnel->Send(datagram, aTo)) {
    mTraffic.OnSteered(aTo, aPacket.mPurpose, datagram.size());
  }
}

void PassthroughProcess::Report(const Address& aBalancer,
                                const PlacementReport& aReport)
{
  SendDatagram(aBalancer, MessageKind::PlacementReport, EncodePayload(aReport));
}

void PassthroughProcess::Query(const Address& aAgent, const FlowQuery& aQuery)
{
  SendDatagram(aAgent, MessageKind::FlowQuery, EncodePayload(aQuery));
}

void PassthroughProcess::Reply(const Address& aAsker,
                               const FlowQueryReply& aReply)
{
  SendDatagram(aAsker, MessageKind::FlowQueryReply, EncodePayload(aReply));
}

void PassthroughProcess::ToCaller(const Address& aCaller, ByteView aPacket)
{
  Address to = aCaller;
  to.mPort = mSettings.mCallerPort == 0 ? to.mPort : mSettings.mCallerPort;
  mTunnel->Send(aPacket, to);
}

void PassthroughProcess::EverySecond()
{
  mLinks.Tick();
  mMetrics.GetGauge("log_lines_dropped")
    .Set(static_cast<double>(DroppedLogLines()));
  mTraffic.EverySecond(mClock.Now());
}

std::string PassthroughProcess::Status() const
{
  return boost::json::serialize(
    boost::json::object{ { "name", mSettings.mName },
                         { "data_centre", mSettings.mDataCentre },
                         { "traffic", mTraffic.Status(mClock.Now()) } });
}

void PassthroughProcess::UpdateDirectory(
  const BalancerDirectory::Situation& aSituation, Time aNow)
{
  if (!mSettings.mDirectory.empty()) {
    mDirectory->OnTick(aSituation, aNow);
  }
}

void PassthroughProcess::ReplaceSeeds(const std::vector<Address>& aSeeds)
{
  mSeeds = aSeeds;
  mOnSeeds(mSeeds);
  LogEvent(LogLevel::Info, "settings_reloaded", { { "seeds", mSeeds.size() } });
}

void PassthroughProcess::LogRefusedSettings(const Error& aWhy)
{
  LogEvent(LogLevel::Error, "settings_refused", { { "why", aWhy.Describe() } });
}

void PassthroughProcess::StopAfter(Duration aAfter)
{
  mDirectory->Leave();
  auto timer =
    std::make_shared<boost::asio::steady_timer>(mRuntime.Executor(), aAfter);
  timer->async_wait([this, timer](boost::system::error_code) {
    LogEvent(LogLevel::Info, "stopped", {});
    mRuntime.Quit();
  });
}

} // namespace heatherplank
