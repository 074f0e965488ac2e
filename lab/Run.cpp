#include "lab/Run.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "lab/Report.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kReadyTimeout = std::chrono::seconds(15);
constexpr auto kStopTimeout = std::chrono::milliseconds(1500);
constexpr auto kPollTime = std::chrono::milliseconds(20);

/** A folder that is removed with this object, unless it is to be kept. */
class TemporaryFolder
{
public:
  explicit TemporaryFolder(bool aKeep)
    : mKeep(aKeep)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "lab-XXXXXX").string();
    mPath = mkdtemp(pattern.data()) ? pattern : std::string();
  }

  ~TemporaryFolder()
  {
    std::error_code ec;
    if (mKeep) {
      std::cerr << "kept: " << mPath << "\n";
    } else if (!mPath.empty()) {
      std::filesystem::remove_all(mPath, ec);
    }
  }

  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
  bool mKeep;
};

/** Runs a scenario once, from start to report. */
class Play
{
public:
  Play(asio::io_context* aContext, World* aWorld)
    : mContext(aContext)
    , mWorld(aWorld)
    , mFaults(aWorld)
  {
  }

  Awaitable<void> Whole();

  RunResult Outcome() const { return mOutcome; }
  void Interrupt();

private:
  Awaitable<bool> StartAll();
  Result<void> CheckFaults() const;
  void StartLoads();
  void StartFaults();
  Awaitable<void> PlayLater(FaultSpec aFault);
  Awaitable<void> RunOut();
  Awaitable<void> Finish();
  void Print(json::object aReport);
  json::object Measure();
  void AddProcesses(json::object& aReport, std::size_t aSlowStops);

  asio::io_context* mContext;
  World* mWorld;
  Faults mFaults;
  std::vector<std::unique_ptr<Load>> mLoads;
  std::size_t mFaultsLeft = 0;
  RunResult mOutcome = RunResult::Failed;
};

Awaitable<void> Play::Whole()
{
  if (auto fine = CheckFaults(); !fine) {
    std::cerr << "lab: " << fine.error().Describe() << "\n";
    mOutcome = RunResult::Usage;
  } else if (co_await StartAll()) {
    StartLoads();
    StartFaults();
    co_await RunOut();
    co_await Finish();
  }
  mContext->stop();
}

Result<void> Play::CheckFaults() const
{
  for (const auto& it : mWorld->mScenario.mFaults) {
    if (auto fine = mFaults.Check(it); !fine) {
      return fine;
    }
  }
  return {};
}

Awaitable<bool> Play::StartAll()
{
  int code = co_await mWorld->Apply({});
  if (code != 0) {
    std::cerr << "lab: the configuration was not accepted; see operator.log "
                 "(--keep)\n";
    co_return false;
  }
  const auto& spare = mWorld->mScenario.mSpare;
  std::vector<std::string> started;
  for (const auto& [name, node] : mWorld->mFleet->Nodes()) {
    if (std::find(spare.begin(), spare.end(), name) == spare.end()) {
      started.push_back(name);
      co_await mWorld->mFleet->Start(name);
    }
  }
  for (const auto& name : started) {
    bool ready = co_await mWorld->mFleet->WaitReady(name, kReadyTimeout);
    if (!ready) {
      std::cerr << "lab: " << name << " did not become ready; see " << name
                << ".log (--keep)\n";
      co_return false;
    }
  }
  mFaults.SpreadPackets();
  co_return true;
}

void Play::StartLoads()
{
  const auto& scenario = mWorld->mScenario;
  auto open = [this](const LoadSpec& aSpec) {
    return Flow::Make(
      mWorld->mExecutor, mWorld->mServices[aSpec.mService], aSpec,
      mWorld->mScenario.mGrace,
      [this](std::uint16_t aPort) {
        return mWorld->mFleet->PromisedPorts().IsTaken(aPort);
      },
      &mWorld->mCallers);
  };
  for (std::size_t i = 0; i < scenario.mLoad.size(); ++i) {
    mLoads.push_back(std::make_unique<Load>(
      mWorld->mExecutor, scenario.mLoad[i], scenario.mSeed + i, open));
    mLoads.back()->Start();
  }
}

void Play::StartFaults()
{
  for (const auto& it : mWorld->mScenario.mFaults) {
    ++mFaultsLeft;
    asio::co_spawn(mWorld->mExecutor, PlayLater(it), asio::detached);
  }
}

Awaitable<void> Play::PlayLater(FaultSpec aFault)
{
  co_await Sleep(aFault.mAt);
  co_await mFaults.Play(aFault);
  --mFaultsLeft;
}

/** Waits for the duration of the load and for the end of the last fault. */
Awaitable<void> Play::RunOut()
{
  co_await Sleep(mWorld->mScenario.mDuration);
  while (mFaultsLeft > 0) {
    co_await Sleep(kPollTime);
  }
  for (auto& it : mLoads) {
    it->Stop();
  }
  while (mWorld->mCallers.mOpen > 0) {
    co_await Sleep(kPollTime);
  }
}

Awaitable<void> Play::Finish()
{
  auto report = Measure();
  auto slow = co_await mWorld->mFleet->StopAll(kStopTimeout);
  AddProcesses(report, slow);
  Print(std::move(report));
}

json::object Play::Measure()
{
  Evidence evidence;
  evidence.mScenario = &mWorld->mScenario;
  evidence.mCallers = &mWorld->mCallers;
  evidence.mExecutions = &mWorld->mExecutions;
  evidence.mPolicies = mWorld->mPolicies;
  std::set<std::string> touched(mWorld->mScenario.mSpare.begin(),
                                mWorld->mScenario.mSpare.end());
  for (const auto& it : mWorld->mScenario.mFaults) {
    for (const auto& name : mFaults.Names(it.mTarget)) {
      touched.insert(name.substr(name.find(':') + 1));
    }
  }
  for (const auto& [name, node] : mWorld->mFleet->Nodes()) {
    if (!node.IsBalancer() && !touched.contains(name)) {
      evidence.mSteadyHosts[node.mService].insert(name);
    }
  }
  return MakeReport(evidence);
}

void Play::AddProcesses(json::object& aReport, std::size_t aSlowStops)
{
  json::array crashes;
  for (const auto& it : mWorld->mFleet->Crashes()) {
    crashes.emplace_back(it);
  }
  aReport["crashes"] = crashes.size();
  aReport["crashed"] = crashes;
  aReport["slow_stops"] = aSlowStops;
  json::object calls;
  for (const auto& [kind, n] : mWorld->mPlatform->Calls()) {
    calls[kind] = n;
  }
  aReport["platform_calls"] = calls;
  json::object commands;
  for (const auto& [name, n] : mWorld->mCommands) {
    commands[name] = n;
  }
  aReport["commands"] = commands;
}

void Play::Print(json::object aReport)
{
  auto unmet = CheckExpectations(mWorld->mScenario, aReport);
  for (const auto& it : aReport["crashed"].as_array()) {
    unmet.push_back("crashed: " + std::string(it.as_string()));
  }
  std::cout << DescribeReport(aReport);
  json::array lines;
  for (const auto& it : unmet) {
    std::cout << "UNMET     " << it << "\n";
    lines.emplace_back(it);
  }
  aReport["unmet"] = lines;
  aReport["met"] = unmet.empty();
  std::cout << json::serialize(aReport) << std::endl;
  mOutcome = unmet.empty() ? RunResult::Met : RunResult::Unmet;
}

void Play::Interrupt()
{
  mOutcome = RunResult::Interrupted;
  mContext->stop();
}

} // namespace

RunResult RunScenario(const RunOptions& aOptions)
{
  auto scenario = ReadScenario(aOptions.mScenario);
  if (!scenario) {
    std::cerr << "lab: " << scenario.error().Describe() << "\n";
    return RunResult::Usage;
  }
  TemporaryFolder folder(aOptions.mKeep);
  asio::io_context context(1);
  World world;
  world.mScenario = std::move(*scenario);
  world.mExecutor = context.get_executor();
  world.mFolder = folder.Path();
  world.mBin = aOptions.mBin;
  if (auto prepared = world.Prepare(); !prepared) {
    std::cerr << "lab: " << prepared.error().Describe() << "\n";
    return RunResult::Usage;
  }
  Play play(&context, &world);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&play](boost::system::error_code aEc, int) {
    if (!aEc) {
      play.Interrupt();
    }
  });
  asio::co_spawn(context, play.Whole(), asio::detached);
  context.run();
  return play.Outcome();
}

} // namespace heatherplank::lab
