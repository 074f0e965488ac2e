#include "lab/World.h"

#include <fstream>

#include <boost/json/serialize.hpp>

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr auto kCommandTimeout = std::chrono::seconds(20);

std::string Text(const json::value& aObject, std::string_view aKey)
{
  const auto* object = aObject.if_object();
  const auto* found = object ? object->if_contains(aKey) : nullptr;
  return found && found->is_string() ? std::string(found->as_string())
                                     : std::string();
}

json::array* List(json::value& aObject, std::string_view aKey)
{
  auto* object = aObject.if_object();
  auto* found = object ? object->if_contains(aKey) : nullptr;
  return found ? found->if_array() : nullptr;
}

tl::unexpected<Error> BadBase(const std::string& aPath)
{
  return Fail(ErrorKind::InvalidInput,
              aPath + " lacks services with hosts and addresses",
              "take a configuration that heatherplank check accepts");
}

} // namespace

Result<void> World::Prepare()
{
  auto platform =
    Platform::Make(mExecutor, mScenario.mPlatform, mScenario.mSeed);
  auto base = ReadJsonFile(mScenario.mBase);
  if (!platform || !base) {
    return tl::unexpected(platform ? base.error() : platform.error());
  }
  mPlatform = std::move(*platform);
  mConfiguration = std::move(*base);
  mFabric =
    std::make_unique<Fabric>(mExecutor, mScenario.mFabric, mScenario.mSeed);
  mFleet =
    std::make_unique<Fleet>(mExecutor, mFolder, mBin, mPlatform->Local());
  if (mScenario.mConfirmAfter) {
    mFleet->SetConfirmAfter(*mScenario.mConfirmAfter);
  }
  for (std::size_t i = 0; i < mScenario.mBalancers.size(); ++i) {
    mFleet->AddBalancer("balancer-" + std::to_string(i + 1),
                        mScenario.mBalancers[i]);
  }
  auto* services = List(mConfiguration, "services");
  if (!services) {
    return BadBase(mScenario.mBase);
  }
  for (auto& it : *services) {
    if (auto done = PrepareService(it); !done) {
      return done;
    }
  }
  const auto* policy = mConfiguration.as_object().if_contains("policy");
  NotePolicy(policy ? Text(*policy, "name") : "");
  return {};
}

Result<void> World::PrepareService(json::value& aService)
{
  std::string service = Text(aService, "name");
  auto* hosts = List(aService, "hosts");
  auto* addresses = List(aService, "addresses");
  if (!hosts || !addresses) {
    return BadBase(mScenario.mBase);
  }
  mServices[service] = mFabric->AddService();
  *addresses = { json::value(mServices[service].ToString()) };
  if (auto kept = mScenario.mHosts.find(service);
      kept != mScenario.mHosts.end() && kept->second < hosts->size()) {
    hosts->resize(kept->second);
  }
  for (const auto& it : *hosts) {
    std::string host = Text(it, "name");
    auto own = mScenario.mBackends.find(host);
    const auto& spec =
      own == mScenario.mBackends.end() ? mScenario.mBackend : own->second;
    auto backend =
      Backend::Make(mExecutor, service, host, spec,
                    HashBytes(host, mScenario.mSeed), &mExecutions);
    if (!backend) {
      return tl::unexpected(backend.error());
    }
    mFleet->AddAgent(host, Text(it, "data_centre"), service,
                     (*backend)->Local(), spec.mSlots);
    mBackends[host] = std::move(*backend);
  }
  return {};
}

void World::NotePolicy(const std::string& aName)
{
  mCallers.mPolicy = aName;
  mPolicies.emplace_back(std::chrono::steady_clock::now(), aName);
}

Awaitable<int> World::Command(std::string aName,
                              std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), mBin);
  aArguments.push_back("--platform=" + mPlatform->Local().ToString());
  aArguments.emplace_back("--yes");
  int code = co_await RunCommand(std::move(aArguments),
                                 mFolder + "/operator.log", kCommandTimeout);
  constexpr int kConflict = 3;
  const char* end = code == kConflict ? ".conflict" : ".failed";
  ++mCommands[aName + (code == 0 ? ".ok" : end)];
  co_return code;
}

Awaitable<int> World::Apply(json::object aSet)
{
  std::string path =
    mFolder + "/configuration-" + std::to_string(++mFiles) + ".json";
  auto configuration = mConfiguration;
  if (!aSet.empty()) {
    co_await Get(path);
    configuration = ReadJsonFile(path).value_or(mConfiguration);
  }
  for (const auto& it : aSet) {
    boost::system::error_code ec;
    if (auto* member = configuration.find_pointer(it.key(), ec)) {
      *member = it.value();
    }
  }
  std::ofstream(path) << json::serialize(configuration) << "\n";
  std::vector<std::string> arguments;
  arguments.emplace_back("apply");
  arguments.push_back(path);
  co_return co_await Command("apply", std::move(arguments));
}

Awaitable<void> World::Get(std::string aPath)
{
  std::vector<std::string> arguments;
  arguments.push_back(mBin);
  arguments.emplace_back("get");
  arguments.push_back("--platform=" + mPlatform->Local().ToString());
  co_await RunCommand(std::move(arguments), aPath, kCommandTimeout);
}

Awaitable<int> World::SetPolicy(std::string aName)
{
  std::vector<std::string> arguments;
  arguments.emplace_back("policy");
  arguments.emplace_back("set");
  arguments.push_back(aName);
  int code = co_await Command("policy", std::move(arguments));
  if (code == 0) {
    NotePolicy(aName);
  }
  co_return code;
}

} // namespace heatherplank::lab
