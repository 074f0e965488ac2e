#pragma once

#include <memory>

#include "src/net/DatagramSocket.h"
#include "src/process/MessageSender.h"

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

  /** aLarge sends the larger messages and must outlive this object. */
  explicit DatagramMessages(MessageSender& aLarge)
    : mLarge(aLarge)
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
    mSocket->Send(EncodeDatagram(aKind, aPayload), aTo);
  }

private:
  MessageSender& mLarge;
  std::shared_ptr<DatagramSocket> mSocket;
};

} // namespace heatherplank
