#include "src/cli/CommandContext.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include "src/cli/Flags.h"
#include "src/config/ConfigurationMerge.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

namespace json = boost::json;

CommandContext::CommandContext(const Address& aPlatform)
  : mWork(boost::asio::make_work_guard(mContext))
{
  mStore = std::make_unique<HttpObjectStore>(mContext.get_executor(), aPlatform,
                                             HttpObjectStore::Options());
  SyncObjectStore::Options options;
  options.mSeed = std::random_device()();
  mSyncStore = std::make_unique<SyncObjectStore>(*mStore, std::move(options));
  mConfigurations = std::make_unique<ConfigurationStore>(
    *mSyncStore, ConfigurationStore::Options());
  mThread = std::thread([this] { mContext.run(); });
}

CommandContext::~CommandContext()
{
  mContext.stop();
  mThread.join();
}

Result<std::unique_ptr<CommandContext>> CommandContext::Make()
{
  auto address = ParseAddress(FLAGS_platform);
  if (!address) {
    return Fail(ErrorKind::InvalidInput,
                "--platform: " + address.error().mMessage,
                address.error().mRemedy);
  }
  return std::unique_ptr<CommandContext>(new CommandContext(*address));
}

Result<StoredConfiguration> CommandContext::ReadNewest()
{
  auto out = mConfigurations->Read();
  if (!out) {
    return tl::unexpected(out.error());
  }
  if (!*out) {
    return Fail(ErrorKind::NotFound, "the platform holds no configuration yet",
                "write one and apply it with `heatherplank apply`");
  }
  return std::move(**out);
}

ExitCode ReportError(const char* aCommand, const Error& aError)
{
  std::cerr << "heatherplank " << aCommand << ": " << aError.Describe() << "\n";
  return ToExitCode(aError);
}

std::string GetAuthor()
{
  if (!FLAGS_author.empty()) {
    return FLAGS_author;
  }
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "unknown";
}

bool Confirm(const std::vector<std::string>& aLines)
{
  if (FLAGS_yes && FLAGS_json) {
    return true;
  }
  for (const auto& it : aLines) {
    std::cout << it << "\n";
  }
  if (FLAGS_yes) {
    return true;
  }
  std::cout << "Apply this? [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

ExitCode CommitAndReport(CommandContext& aContext, const char* aCommand,
                         const ConfigurationChange& aChange)
{
  auto done = aContext.Configurations().Commit(aChange);
  if (!done) {
    return ReportError(aCommand, done.error());
  }
  const auto& head = done->mStored.mHead;
  if (FLAGS_json) {
    json::object out;
    out["version"] = head.mVersion;
    out["author"] = head.mAuthor;
    out["time_ms"] = head.mTimeMs;
    out["unchanged"] = done->mUnchanged;
    out["rebased"] = done->mMerged;
    std::cout << json::serialize(out) << "\n";
    return ExitCode::Ok;
  }
  if (done->mUnchanged) {
    std::cout << "Nothing to change: " << DescribeHead(head) << "\n";
    return ExitCode::Ok;
  }
  std::cout << "Accepted: " << DescribeHead(head)
            << (done->mMerged ? " (rebased onto a newer version)" : "") << "\n";
  return ExitCode::Ok;
}

} // namespace heatherplank
