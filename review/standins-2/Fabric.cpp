#include "review/standins-2/Fabric.h"

#include <chrono>

namespace heatherplank::review {

namespace {

constexpr auto kProbeInterval = std::chrono::milliseconds(500);
constexpr int kMaxMisses = 2;

} // namespace

Result<void> Fabric::Listen(const Address& aAddress)
{
  auto socket = DatagramSocket::Make(mExecutor, aAddress, nullptr);
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  mSocket = *socket;
  return {};
}

void Fabric::AddNode(const std::string& aName, const Address& aIngress,
                     const Address& aReady)
{
  auto node = std::make_unique<Node>();
  node->mName = aName;
  node->mIngress = aIngress;
  node->mClient = HttpClient::Make(mExecutor, aReady, 1);
  node->mTimer = std::make_unique<boost::asio::steady_timer>(mExecutor);
  mNodes.push_back(std::move(node));
  Probe(*mNodes.back());
}

void Fabric::Probe(Node& aNode)
{
  HttpRequest request(http::verb::get, "/readyz", 11);
  request.set(http::field::host, "node");
  aNode.mClient->Send(
    std::move(request), kProbeInterval,
    [this, &aNode](const Result<HttpResponse>& aAnswer) {
      bool isReady = aAnswer && aAnswer->result() == http::status::ok;
      bool was = aNode.mMisses < kMaxMisses;
      aNode.mMisses = isReady ? 0 : aNode.mMisses + 1;
      bool is = aNode.mMisses < kMaxMisses;
      if (was != is) {
        mRecord.Line("node " + aNode.mName +
                     (is ? " is in rotation" : " is out of rotation"));
      }
    });
  aNode.mTimer->expires_after(kProbeInterval);
  aNode.mTimer->async_wait([this, &aNode](boost::system::error_code aEc) {
    if (!aEc) {
      Probe(aNode);
    }
  });
}

const Fabric::Node* Fabric::Choose(const FlowKey& aFlow) const
{
  std::vector<const Node*> ready;
  for (const auto& it : mNodes) {
    if (it->mMisses < kMaxMisses) {
      ready.push_back(it.get());
    }
  }
  return ready.empty() ? nullptr : ready[HashFlow(aFlow, 1) % ready.size()];
}

void Fabric::Forward(const FlowKey& aFlow, ByteView aPacket)
{
  if (const Node* node = Choose(aFlow)) {
    mSocket->Send(aPacket, node->mIngress);
  }
}

std::size_t Fabric::InRotation() const
{
  std::size_t n = 0;
  for (const auto& it : mNodes) {
    n += it->mMisses < kMaxMisses ? 1 : 0;
  }
  return n;
}

std::string Fabric::NodeOf(const FlowKey& aFlow) const
{
  const Node* node = Choose(aFlow);
  return node != nullptr ? node->mName : "no node";
}

} // namespace heatherplank::review
