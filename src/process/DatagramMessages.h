#pragma once

#include <memory>

#include "src/net/DatagramSocket.h"
#include "src/process/MessageSender.h"

namespace heatherplank {

/** Sends small messages as single datagrams and leaves the others to another
 * sender.
 *
 * Heartbeats are what tells the dead from the living, so they must not wait
 * behind lost bytes of a connection, nor go into one that went silent: a
 * datagram that is lost is made good by the next heartbeat. It also costs one
 * system call where a connection costs several. Thread safe.
 */
class DatagramMessages final : public MessageSender
{
public:
  /** Fits the smallest usual packet size of networks, headers included. */
  static constexpr std::size_t kLargest = 1200;

  /** aLarge must outlive it. */
  explicit DatagramMessages(MessageSender& aLarge)
    : mLarge(aLarge)
  {
  }

  /** The socket to send from. Precondition: called once, before Send. */
  void SetSocket(std::shared_ptr<DatagramSocket> aSocket)
  {
    mSocket = std::move(aSocket);
  }

  void Send(const Address& aTo, MessageKind aKind, ByteView aPayload) override
  {
    if (aPayload.size() > kLargest) {
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
