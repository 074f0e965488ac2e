#include "src/net/ControlConnection.h"

#include <array>
#include <atomic>
#include <deque>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank {

namespace asio = boost::asio;

struct ControlConnection::Impl
{
  Impl(asio::ip::tcp::socket aSocket, Events aEvents)
    : mSocket(std::move(aSocket))
    , mEvents(std::move(aEvents))
  {
    boost::system::error_code ec;
    mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
    mRemote = FromEndpoint(mSocket.remote_endpoint(ec));
  }

  asio::ip::tcp::socket mSocket;
  Events mEvents;
  Address mRemote;
  FrameDecoder mDecoder;
  std::array<std::uint8_t, 16384> mBuffer{};
  std::deque<Bytes> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mWriting = false;
  bool mClosing = false;
  bool mClosed = false;
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };

  void Read(const Ptr& aSelf)
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [aSelf, this](boost::system::error_code aEc, std::size_t aCount) {
        if (aEc) {
          CloseWith(aSelf, { ErrorKind::Unavailable, aEc.message(), "" });
          return;
        }
        mBytesReceived += aCount;
        mDecoder.Feed(ByteView(mBuffer.data(), aCount));
        DispatchFrames(aSelf);
      });
  }

  void DispatchFrames(const Ptr& aSelf)
  {
    while (!mClosed) {
      Frame frame;
      auto decoded = mDecoder.Next(frame);
      if (!decoded) {
        CloseWith(aSelf, decoded.error());
        return;
      }
      if (!*decoded) {
        Read(aSelf);
        return;
      }
      mEvents.mFrame(aSelf, frame);
    }
  }

  void Enqueue(const Ptr& aSelf, Bytes aFrame)
  {
    if (mClosed || mClosing) {
      return;
    }
    mQueuedBytes += aFrame.size();
    mQueue.push_back(std::move(aFrame));
    if (mQueuedBytes > kMaxQueuedBytes) {
      CloseWith(aSelf, { ErrorKind::TooLarge, "the peer reads too slowly",
                         "check the peer's load" });
      return;
    }
    WriteNext(aSelf);
  }

  void WriteNext(const Ptr& aSelf)
  {
    if (mWriting || mClosed) {
      return;
    }
    if (mQueue.empty()) {
      if (mClosing) {
        CloseWith(aSelf, { ErrorKind::Unavailable, "closed by this side", "" });
      }
      return;
    }
    mWriting = true;
    asio::async_write(
      mSocket, asio::buffer(mQueue.front()),
      [aSelf, this](boost::system::error_code aEc, std::size_t aCount) {
        mWriting = false;
        if (mClosed) {
          return;
        }
        if (aEc) {
          CloseWith(aSelf, { ErrorKind::Unavailable, aEc.message(), "" });
          return;
        }
        mBytesSent += aCount;
        mQueuedBytes -= mQueue.front().size();
        mQueue.pop_front();
        WriteNext(aSelf);
      });
  }

  void CloseWith(const Ptr& aSelf, const Error& aReason)
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    boost::system::error_code ec;
    mSocket.close(ec);
    if (mEvents.mClosed) {
      mEvents.mClosed(aSelf, aReason);
    }
  }
};

ControlConnection::ControlConnection(asio::ip::tcp::socket aSocket,
                                     Events aEvents)
  : mImpl(std::make_unique<Impl>(std::move(aSocket), std::move(aEvents)))
{
}

ControlConnection::~ControlConnection() = default;

void ControlConnection::Start()
{
  asio::post(mImpl->mSocket.get_executor(),
             [self = shared_from_this()] { self->mImpl->Read(self); });
}

void ControlConnection::Send(MessageKind aKind, ByteView aPayload)
{
  asio::post(mImpl->mSocket.get_executor(),
             [self = shared_from_this(),
              frame = EncodeFrame(aKind, aPayload)]() mutable {
               self->mImpl->Enqueue(self, std::move(frame));
             });
}

void ControlConnection::Close()
{
  asio::post(mImpl->mSocket.get_executor(), [self = shared_from_this()] {
    self->mImpl->mClosing = true;
    self->mImpl->WriteNext(self);
  });
}

Address ControlConnection::Remote() const
{
  return mImpl->mRemote;
}

std::uint64_t ControlConnection::BytesSent() const
{
  return mImpl->mBytesSent;
}

std::uint64_t ControlConnection::BytesReceived() const
{
  return mImpl->mBytesReceived;
}

} // namespace heatherplank
