#include "lab/Fleet.h"

#include <csignal>
#include <fstream>

#include <sys/wait.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr auto kPollTime = std::chrono::milliseconds(20);
constexpr auto kAdminTimeout = std::chrono::milliseconds(1000);

HttpRequest MakeAdminRequest(http::verb aVerb, const std::string& aTarget,
                             std::string aBody = {})
{
  HttpRequest request(aVerb, aTarget, 11);
  request.set(http::field::host, "lab");
  request.body() = std::move(aBody);
  return request;
}

std::string DescribeStatus(int aStatus)
{
  return WIFSIGNALED(aStatus)
           ? "signal " + std::to_string(WTERMSIG(aStatus))
           : "exit code " + std::to_string(WEXITSTATUS(aStatus));
}

} // namespace

Fleet::Fleet(const boost::asio::any_io_executor& aExecutor, std::string aFolder,
             std::string aBin, Address aPlatform)
  : mExecutor(aExecutor)
  , mFolder(std::move(aFolder))
  , mBin(std::move(aBin))
  , mPlatform(aPlatform)
  , mPorts(aExecutor)
{
}

void Fleet::AddBalancer(const std::string& aName,
                        const std::string& aDataCentre)
{
  Node& node = mNodes[aName];
  node.mName = aName;
  node.mDataCentre = aDataCentre;
  node.mTunnel = mPorts.Take();
  node.mControl = mPorts.Take();
  node.mAdmin = mPorts.Take();
  node.mClient = HttpClient::Make(mExecutor, node.mAdmin, 1);
}

void Fleet::AddAgent(const std::string& aName, const std::string& aDataCentre,
                     const std::string& aService, const Address& aBackend,
                     std::size_t aSlots)
{
  AddBalancer(aName, aDataCentre);
  Node& node = mNodes[aName];
  node.mService = aService;
  node.mBackend = aBackend;
  node.mSlots = aSlots;
}

Node* Fleet::Find(std::string_view aName)
{
  auto found = mNodes.find(std::string(aName));
  return found == mNodes.end() ? nullptr : &found->second;
}

std::string Fleet::WriteSettings(const Node& aNode) const
{
  json::object settings{
    { "name", aNode.mName },
    { "data_centre", aNode.mDataCentre },
    { "tunnel", aNode.mTunnel.ToString() },
    { "control", aNode.mControl.ToString() },
    { "admin", aNode.mAdmin.ToString() },
    { "platform", mPlatform.ToString() },
    { "threads", 1 },
  };
  json::array others;
  for (const auto& [name, node] : mNodes) {
    if (node.IsBalancer() && name != aNode.mName) {
      others.emplace_back(node.mControl.ToString());
    }
  }
  if (aNode.IsBalancer()) {
    settings["peers"] = others;
  } else {
    settings["balancers"] = others;
    settings["service"] = aNode.mService;
    settings["backend"] = aNode.mBackend.ToString();
    settings["slots"] = aNode.mSlots;
    if (mConfirmAfter) {
      settings["vouch_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(*mConfirmAfter)
          .count();
    }
  }
  std::string path = mFolder + "/" + aNode.mName + ".json";
  std::ofstream(path) << json::serialize(settings) << "\n";
  return path;
}

std::vector<std::string> Fleet::Arguments(const Node& aNode) const
{
  return { mBin, aNode.IsBalancer() ? "balancer" : "agent", "--settings",
           WriteSettings(aNode), "--fault_injection" };
}

Awaitable<void> Fleet::Start(std::string aName)
{
  Node& node = mNodes.at(aName);
  while (node.mProcess && !node.mProcess->Poll()) {
    co_await Sleep(kPollTime);
  }
  NoteEnd(node);
  auto process =
    Process::Start(Arguments(node), mFolder + "/" + aName + ".log");
  if (!process) {
    mCrashes.push_back(aName + ": " + process.error().Describe());
    co_return;
  }
  node.mProcess = std::move(*process);
  node.mEndSignal = 0;
  node.mEndNoted = false;
}

Awaitable<bool> Fleet::WaitReady(std::string aName, Duration aTimeout)
{
  Node& node = mNodes.at(aName);
  auto end = std::chrono::steady_clock::now() + aTimeout;
  while (node.mProcess && !node.mProcess->Poll() &&
         std::chrono::steady_clock::now() < end) {
    auto answer =
      co_await Fetch(node.mClient, MakeAdminRequest(http::verb::get, "/readyz"),
                     kAdminTimeout);
    if (answer && answer->result() == http::status::ok) {
      co_return true;
    }
    co_await Sleep(kPollTime);
  }
  co_return false;
}

void Fleet::Signal(const std::string& aName, int aNumber)
{
  Node& node = mNodes.at(aName);
  if (!node.mProcess) {
    return;
  }
  NoteEnd(node);
  if (aNumber == SIGTERM || aNumber == SIGKILL) {
    node.mEndSignal = aNumber;
  }
  node.mProcess->Signal(aNumber);
}

Awaitable<void> Fleet::PostFault(std::string aName, std::string aTarget,
                                 std::string aBody)
{
  Node& node = mNodes.at(aName);
  auto answer = co_await Fetch(
    node.mClient, MakeAdminRequest(http::verb::post, aTarget, std::move(aBody)),
    kAdminTimeout);
  if (!answer || answer->result() != http::status::ok) {
    mCrashes.push_back(aName + ": refused " + aTarget);
  }
}

Awaitable<void> Fleet::Cut(std::string aOne, std::string aOther)
{
  std::map<std::string, json::array> addresses;
  for (const auto& [name, node] : mNodes) {
    addresses[node.mDataCentre].emplace_back(node.mTunnel.ToString());
    addresses[node.mDataCentre].emplace_back(node.mControl.ToString());
  }
  for (const auto& [name, node] : mNodes) {
    bool one = node.mDataCentre == aOne;
    if (!node.mProcess || (!one && node.mDataCentre != aOther)) {
      continue;
    }
    json::object body{ { "addresses", addresses[one ? aOther : aOne] } };
    co_await PostFault(name, "/fault/cut", json::serialize(body));
  }
}

Awaitable<void> Fleet::Heal()
{
  for (const auto& [name, node] : mNodes) {
    if (node.mProcess) {
      co_await PostFault(name, "/fault/heal", "{}");
    }
  }
}

Awaitable<std::string> Fleet::ReadAdmin(std::string aName, std::string aTarget)
{
  Node& node = mNodes.at(aName);
  if (!node.mProcess || node.mProcess->Poll()) {
    co_return std::string();
  }
  auto answer = co_await Fetch(
    node.mClient, MakeAdminRequest(http::verb::get, aTarget), kAdminTimeout);
  bool fine = answer && answer->result() == http::status::ok;
  co_return fine ? answer->body() : std::string();
}

Awaitable<std::size_t> Fleet::StopAll(Duration aTimeout)
{
  for (auto& [name, node] : mNodes) {
    Signal(name, SIGCONT);
    Signal(name, SIGTERM);
  }
  auto end = std::chrono::steady_clock::now() + aTimeout;
  std::size_t slow = 0;
  for (auto& [name, node] : mNodes) {
    while (node.mProcess && !node.mProcess->Poll() &&
           std::chrono::steady_clock::now() < end) {
      co_await Sleep(kPollTime);
    }
    if (node.mProcess && !node.mProcess->Poll()) {
      ++slow;
      Signal(name, SIGKILL);
    }
  }
  co_return slow;
}

void Fleet::NoteEnd(Node& aNode)
{
  auto status = aNode.mProcess ? aNode.mProcess->Poll() : std::nullopt;
  if (!status || aNode.mEndNoted) {
    return;
  }
  aNode.mEndNoted = true;
  bool orderly = aNode.mEndSignal == SIGTERM && *status == 0;
  if (!orderly && aNode.mEndSignal != SIGKILL) {
    mCrashes.push_back(aNode.mName + ": " + DescribeStatus(*status));
  }
}

std::vector<std::string> Fleet::Crashes()
{
  for (auto& [name, node] : mNodes) {
    NoteEnd(node);
  }
  return mCrashes;
}

} // namespace heatherplank::lab
