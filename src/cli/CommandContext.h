#pragma once

#include <memory>
#include <string>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "include/heatherplank/Error.h"
#include "src/cli/ExitCodes.h"
#include "src/config/ConfigurationStore.h"
#include "src/store/HttpObjectStore.h"
#include "src/store/SyncObjectStore.h"

#include <thread>

namespace heatherplank {

/** What the commands share: the platform named by --platform, on a thread of
 * its own, and the configuration there. Not thread safe.
 */
class CommandContext
{
public:
  /** Reads --platform; InvalidInput with the remedy if it is no address. */
  static Result<std::unique_ptr<CommandContext>> Make();

  ~CommandContext();

  ConfigurationStore& Configurations() { return *mConfigurations; }
  SyncObjectStore& Platform() { return *mCalls; }

  /** The newest version; NotFound if there is none yet. */
  Result<StoredConfiguration> ReadNewest();

private:
  explicit CommandContext(const Address& aPlatform);

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::unique_ptr<HttpObjectStore> mStore;
  std::unique_ptr<SyncObjectStore> mCalls;
  std::unique_ptr<ConfigurationStore> mConfigurations;
  std::thread mThread;
};

/** Writes "heatherplank COMMAND: error" to standard error and gives the exit
 * code. */
ExitCode ReportError(const char* aCommand, const Error& aError);

/** Whom a change is written down to: --author, else the user's name. */
std::string AuthorOf();

/** Shows the lines of a change and asks on the terminal unless --yes; false if
 * the answer is not yes. */
bool Confirm(const std::vector<std::string>& aLines);

/** Has a change accepted and says what came of it, as text or --json. */
ExitCode CommitAndTell(CommandContext& aContext, const char* aCommand,
                       const ConfigurationChange& aChange);

} // namespace heatherplank
