#pragma once

#include <memory>

#include "src/net/DatagramSocket.h"
#include "src/process/MessageSender.h"
#include "src/process/SendObserver.h"

namespace heatherplank {

/** Sends each small message as one datagram and passes larger ones to another
 * sender.
 *
 * Failure detection depends on heartbeats, so they must not be delayed by the
 * retransmissions of a TCP connection nor be lost in one that hangs. The next
 * heartbeat makes up for a lost datagram. A datagram also costs one system
 * call, a TCP connection several. Thread safe.
 */
class DatagramMessages final : public MessageSender
{
public:
  /** With headers, fits the smallest common MTU. */
  static constexpr std::size_t kMaxPayload = 1200;

  /** aLarge sends the larger messages. aObserver, which may be null, is told of
   * the datagrams. Both must outlive this object. */
  explicit DatagramMessages(MessageSender& aLarge,
                            SendObserver* aObserver = nullptr)
    : mLarge(aLarge)
    , mObserver(aObserver)
  {
  }

  /** Sets the socket to send from. Precondition: called once, before Send. */
  void SetSocket(std::shared_ptr<DatagramSocket> aSocket)
  {
    mSocket = std::move(aSocket);
  }

  void Send(const Address& aTo, MessageKind aKind, ByteView aPayload) override
  {
    if (aPayload.size() > kMaxPayload) {
      mLarge.Send(aTo, aKind, aPayload);
      return;
    }
    Bytes datagram = EncodeDatagram(aKind, aPayload);
    if (mSocket->Send(datagram, aTo) && mObserver != nullptr) {
      mObserver->OnSent(aTo, aKind, datagram.size());
    }
  }

private:
  MessageSender& mLarge;
  SendObserver* mObserver;
  std::shared_ptr<DatagramSocket> mSocket;
};

} // namespace heatherplank
