#pragma once

#include <memory>
#include <string>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "include/heatherplank/Error.h"
#include "src/config/ConfigurationStore.h"
#include "src/process/ExitCodes.h"
#include "src/store/HttpObjectStore.h"
#include "src/store/SyncObjectStore.h"

#include <thread>

namespace heatherplank {

/** State that the commands share: the client of the platform given by
 * --platform, on its own thread, and the configuration there. Not thread safe.
 */
class CommandContext
{
public:
  /** Reads --platform; InvalidInput with the remedy if it is not an address. */
  static Result<std::unique_ptr<CommandContext>> Make();

  ~CommandContext();

  ConfigurationStore& Configurations() { return *mConfigurations; }
  SyncObjectStore& Platform() { return *mSyncStore; }

  /** Reads the newest configuration; NotFound if there is none yet. */
  Result<StoredConfiguration> ReadNewest();

private:
  explicit CommandContext(const Address& aPlatform);

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::unique_ptr<HttpObjectStore> mStore;
  std::unique_ptr<SyncObjectStore> mSyncStore;
  std::unique_ptr<ConfigurationStore> mConfigurations;
  std::thread mThread;
};

/** Writes "heatherplank COMMAND: error" to standard error and returns the exit
 * code. */
ExitCode ReportError(const char* aCommand, const Error& aError);

/** Returns the author to record with a change: --author, else the user's name.
 */
std::string GetAuthor();

/** Prints the lines of a change and prompts for confirmation unless --yes;
 * false if the operator declines. */
bool Confirm(const std::vector<std::string>& aLines);

/** Commits a change and prints the result, as text or, with --json, as JSON. */
ExitCode CommitAndReport(CommandContext& aContext, const char* aCommand,
                         const ConfigurationChange& aChange);

} // namespace heatherplank
