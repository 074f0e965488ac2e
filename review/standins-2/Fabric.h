#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Types.h"
#include "review/standins-2/Record.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"

namespace heatherplank::review {

/** The platform's routers: they ask each front node twice a second whether it
 * is ready, take it out of rotation after two misses, and forward each packet
 * of a caller to a node in rotation, chosen by a hash of the flow modulo their
 * number. */
class Fabric
{
public:
  Fabric(const boost::asio::any_io_executor& aExecutor, Record& aRecord)
    : mExecutor(aExecutor)
    , mRecord(aRecord)
  {
  }

  /** Opens the socket that packets are forwarded from. */
  Result<void> Listen(const Address& aAddress);

  void AddNode(const std::string& aName, const Address& aIngress,
               const Address& aReady);

  void Forward(const FlowKey& aFlow, ByteView aPacket);

  std::size_t InRotation() const;
  /** The node that a flow's packets are forwarded to at present. */
  std::string NodeOf(const FlowKey& aFlow) const;

private:
  struct Node
  {
    std::string mName;
    Address mIngress;
    std::shared_ptr<HttpClient> mClient;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
    int mMisses = 2;
  };

  void Probe(Node& aNode);
  const Node* Choose(const FlowKey& aFlow) const;

  boost::asio::any_io_executor mExecutor;
  Record& mRecord;
  std::shared_ptr<DatagramSocket> mSocket;
  std::vector<std::unique_ptr<Node>> mNodes;
};

} // namespace heatherplank::review
