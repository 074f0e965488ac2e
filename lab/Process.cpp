#include "lab/Process.h"

#include <cerrno>
#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace heatherplank::lab {

namespace {

/** Exit code of a child whose program can't be started, as in a shell. */
constexpr int kNotRun = 127;

[[noreturn]] void RunChild(const std::vector<std::string>& aArguments,
                           const std::string& aLog)
{
  // If the lab is killed by SIGKILL, it runs no destructor.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  int null = open("/dev/null", O_RDONLY | O_CLOEXEC);
  dup2(null, STDIN_FILENO);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // An inherited socket would keep the port and connections of a simulated
  // server open after the lab closed them.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const auto& it : aArguments) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(kNotRun);
}

} // namespace

Result<std::unique_ptr<Process>> Process::Start(
  const std::vector<std::string>& aArguments, const std::string& aLog)
{
  pid_t pid = fork();
  if (pid < 0) {
    return Fail(ErrorKind::System,
                "can't start " + aArguments[0] + ": " + std::strerror(errno),
                "free memory or processes");
  }
  if (pid == 0) {
    RunChild(aArguments, aLog);
  }
  return std::unique_ptr<Process>(new Process(pid));
}

Process::~Process()
{
  if (!Poll()) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
}

void Process::Signal(int aNumber)
{
  if (!Poll()) {
    kill(mPid, aNumber);
  }
}

std::optional<int> Process::Poll()
{
  int status = 0;
  if (!mStatus && waitpid(mPid, &status, WNOHANG) == mPid) {
    mStatus = status;
  }
  return mStatus;
}

} // namespace heatherplank::lab
