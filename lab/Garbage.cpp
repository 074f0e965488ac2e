#include "lab/Garbage.h"

#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "lab/Ports.h"
#include "lab/Process.h"
#include "src/net/Endpoint.h"
#include "src/wire/Frame.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int kInputs = 10000;
/** Inputs after which the buffers of a process have their final size. */
constexpr int kWarmUp = kInputs / 10;
/** Allowance for memory that allocators retain; a leak of 1 KB per input would
 * be 9 MB per port. */
constexpr long kAllowedGrowthKb = 4096;
constexpr std::size_t kMaxInput = 300;
constexpr std::size_t kOversized = 60000;

/** A process under test and its addresses. */
struct Target
{
  std::string mRole;
  std::unique_ptr<Process> mProcess;
  Address mTunnel;
  Address mControl;
  Address mAdmin;
  /** Additional ports of processes of opaque flows. */
  std::vector<Address> mDatagramPorts;
  std::vector<Address> mListeners;
};

/** Returns random bytes, or a valid message header followed by random bytes so
 * that every decoder is reached; sometimes with an excessive length. */
Bytes MakeInput(std::mt19937_64& aRandom)
{
  Bytes body(aRandom() % kMaxInput);
  if (aRandom() % 500 == 0) {
    body.resize(kOversized);
  }
  for (auto& it : body) {
    it = static_cast<std::uint8_t>(aRandom());
  }
  auto kind = static_cast<MessageKind>(aRandom() % 48);
  switch (aRandom() % 4) {
    case 0:
      return body;
    case 1:
      return EncodeDatagram(kind, body);
    case 2: {
      Bytes frame = EncodeFrame(kind, body);
      frame.resize(frame.size() - aRandom() % (frame.size() / 2));
      return frame;
    }
    default:
      return EncodeFrame(kind, body);
  }
}

void ThrowAtTunnel(const Address& aTo, std::mt19937_64& aRandom, int aCount)
{
  asio::io_context context;
  auto to = ToEndpoint<asio::ip::udp>(aTo);
  asio::ip::udp::socket socket(context, to.protocol());
  for (int i = 0; i < aCount; ++i) {
    boost::system::error_code ec;
    socket.send_to(asio::buffer(MakeInput(aRandom)), to, 0, ec);
    // Paced, so that the inputs are read and not dropped at a full buffer.
    if (i % 100 == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
}

void ThrowAtListener(const Address& aTo, std::mt19937_64& aRandom, int aCount)
{
  asio::io_context context;
  auto to = ToEndpoint<asio::ip::tcp>(aTo);
  for (int i = 0; i < aCount; ++i) {
    asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect(to, ec);
    asio::write(socket, asio::buffer(MakeInput(aRandom)), ec);
    // Reset on close: 10,000 ports in TIME_WAIT would be all there are.
    socket.set_option(asio::socket_base::linger(true, 0), ec);
  }
}

std::string Get(const Address& aFrom, const std::string& aTarget)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code ec;
  socket.connect(ToEndpoint<asio::ip::tcp>(aFrom), ec);
  std::string request =
    "GET " + aTarget + " HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  asio::write(socket, asio::buffer(request), ec);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  return answer;
}

bool WaitAlive(const Target& aTarget)
{
  for (int i = 0; i < 100; ++i) {
    if (Get(aTarget.mAdmin, "/healthz").find("200 OK") != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

/** Sum of the counters of refused packets and messages. */
double CountRefused(const Target& aTarget)
{
  std::istringstream lines(Get(aTarget.mAdmin, "/metrics"));
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    auto space = line.rfind(' ');
    if (line.find("_refused_total{") != std::string::npos) {
      sum += std::atof(line.c_str() + space);
    }
  }
  return sum;
}

long ResidentKb(const Target& aTarget)
{
  std::ifstream status("/proc/" + std::to_string(aTarget.mProcess->Pid()) +
                       "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

Result<Target> Start(const std::string& aRole, const std::string& aBin,
                     const std::string& aFolder, Ports& aPorts)
{
  Target target{ aRole, nullptr, aPorts.Take(), aPorts.Take(), aPorts.Take(),
                 {},    {} };
  Address nobody = aPorts.Take();
  json::object settings{ { "name", aRole + "-1" },
                         { "data_centre", "hall-a" },
                         { "tunnel", target.mTunnel.ToString() },
                         { "control", target.mControl.ToString() },
                         { "admin", target.mAdmin.ToString() },
                         { "platform", nobody.ToString() } };
  if (aRole == "agent") {
    settings["service"] = "cover-desk";
    settings["backend"] = nobody.ToString();
    settings["balancers"] = json::array{ nobody.ToString() };
  }
  auto open = [&](const char* aKey, std::vector<Address>& aList) {
    aList.push_back(aPorts.Take());
    settings[aKey] = aList.back().ToString();
  };
  if (aRole == "flow-balancer") {
    settings["routes_key"] = "config/main";
    open("ingress", target.mDatagramPorts);
  }
  if (aRole == "flow-agent") {
    settings["service"] = "cover-desk";
    settings["host_inbox"] = nobody.ToString();
    open("host_outbox", target.mDatagramPorts);
    open("host_calls", target.mListeners);
  }
  std::string path = aFolder + "/" + aRole + ".json";
  std::ofstream(path) << json::serialize(settings);
  auto process = Process::Start({ aBin, aRole, "--settings", path },
                                aFolder + "/" + aRole + ".log");
  if (!process) {
    return tl::unexpected(process.error());
  }
  target.mProcess = std::move(*process);
  return target;
}

/** Sends inputs to all ports of a target. */
void ThrowAt(const Target& aTarget, std::mt19937_64& aRandom, int aCount)
{
  ThrowAtTunnel(aTarget.mTunnel, aRandom, aCount);
  ThrowAtListener(aTarget.mControl, aRandom, aCount);
  ThrowAtListener(aTarget.mAdmin, aRandom, aCount);
  for (const Address& it : aTarget.mDatagramPorts) {
    ThrowAtTunnel(it, aRandom, aCount);
  }
  for (const Address& it : aTarget.mListeners) {
    ThrowAtListener(it, aRandom, aCount);
  }
}

json::object Try(Target& aTarget, bool& aMet)
{
  std::mt19937_64 random(20261202);
  bool started = WaitAlive(aTarget);
  ThrowAt(aTarget, random, kWarmUp);
  bool warm = started && WaitAlive(aTarget);
  long before = ResidentKb(aTarget);
  ThrowAt(aTarget, random, kInputs - kWarmUp);
  bool alive =
    warm && WaitAlive(aTarget) && !aTarget.mProcess->Poll().has_value();
  long grown = ResidentKb(aTarget) - before;
  double refused = CountRefused(aTarget);
  aMet = aMet && alive && refused > 0 && grown <= kAllowedGrowthKb;
  return { { "inputs_a_port", kInputs },
           { "alive", alive },
           { "refusals_counted", refused },
           { "memory_kb", before },
           { "memory_grown_kb", grown } };
}

} // namespace

RunResult RunGarbage(const std::string& aBin)
{
  const char* temporary = std::getenv("TMPDIR");
  std::string folder =
    std::string(temporary ? temporary : "/tmp") + "/lab-garbage-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "lab: can't make a folder in TMPDIR\n";
    return RunResult::Failed;
  }
  asio::io_context context;
  Ports ports(context.get_executor());
  json::object report;
  bool met = true;
  const std::vector<std::string> roles{ "balancer", "agent", "flow-balancer",
                                        "flow-agent" };
  for (const std::string& role : roles) {
    auto target = Start(role, aBin, folder, ports);
    if (!target) {
      std::cerr << "lab: " << target.error().Describe() << "\n";
      return RunResult::Failed;
    }
    report[role] = Try(*target, met);
  }
  report["met"] = met;
  for (const std::string& role : roles) {
    for (const char* ending : { ".json", ".log" }) {
      std::string path = folder;
      path.append("/").append(role).append(ending);
      unlink(path.c_str());
    }
  }
  rmdir(folder.c_str());
  std::cout << json::serialize(report) << "\n";
  return met ? RunResult::Met : RunResult::Unmet;
}

} // namespace heatherplank::lab
