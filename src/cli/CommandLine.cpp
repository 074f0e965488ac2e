#include "src/cli/CommandLine.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "src/agent/Agent.h"
#include "src/balancer/Balancer.h"
#include "src/cli/Commands.h"
#include "src/explain/FlowStory.h"
#include "src/passthrough/FlowAgent.h"
#include "src/passthrough/FlowBalancer.h"
#include "src/process/RunProcess.h"
#include "src/replay/Replay.h"

DEFINE_string(settings, "", "file with the process's settings (JSON)");
DEFINE_bool(fault_injection, false,
            "mount /fault/* on the admin port, for experiments with "
            "partitions; never in production");
DEFINE_string(settings_env, "",
              "name of the environment variable that holds the path of the "
              "settings file");

namespace heatherplank {

namespace {

using Arguments = std::span<const std::string>;

/** The adapter passed to RunCommandLine; set before any command runs. */
const PlatformAdapter*& Adapter()
{
  static const PlatformAdapter* sAdapter = nullptr;
  return sAdapter;
}

ProcessOptions Options()
{
  ProcessOptions options{ FLAGS_settings, FLAGS_fault_injection };
  if (options.mSettingsFile.empty() && !FLAGS_settings_env.empty()) {
    const char* path = std::getenv(FLAGS_settings_env.c_str());
    options.mSettingsFile = path != nullptr ? path : "";
  }
  return options;
}

ExitCode RunBalancer(Arguments)
{
  return RunProcess(Options(), ReadBalancerSettings, [](const auto& aSettings) {
    return Balancer::Make(aSettings, FLAGS_fault_injection);
  });
}

ExitCode RunAgent(Arguments)
{
  return RunProcess(Options(), ReadAgentSettings, [](const auto& aSettings) {
    return Agent::Make(aSettings, FLAGS_fault_injection);
  });
}

ExitCode RunFlowBalancer(Arguments)
{
  auto read = [] { return ReadFlowBalancerSettings(Options().mSettingsFile); };
  return RunProcess(Options(), ReadFlowBalancerSettings,
                    [read](const auto& aSettings) {
                      return FlowBalancer::Make(aSettings, *Adapter(), read);
                    });
}

ExitCode RunFlowAgent(Arguments)
{
  auto read = [] { return ReadFlowAgentSettings(Options().mSettingsFile); };
  return RunProcess(Options(), ReadFlowAgentSettings,
                    [read](const auto& aSettings) {
                      return FlowAgent::Make(aSettings, *Adapter(), read);
                    });
}

ExitCode RunReplayCommand(Arguments aTraces)
{
  if (aTraces.empty()) {
    std::fputs("heatherplank: replay needs a trace file\n", stderr);
    return ExitCode::Usage;
  }
  return static_cast<ExitCode>(RunReplay(aTraces, std::cout));
}

ExitCode RunExplain(Arguments aArguments)
{
  if (aArguments.size() < 2) {
    std::fputs("heatherplank: explain needs a flow and logs; give CALLER:PORT>"
               "SERVICE:PORT and the log files\n",
               stderr);
    return ExitCode::Usage;
  }
  std::vector<LogLine> lines;
  for (const std::string& file : aArguments.subspan(1)) {
    std::ifstream in(file);
    if (!in) {
      return ReportStartError({ ErrorKind::InvalidInput, "can't read " + file,
                                "give the path of a log" });
    }
    for (std::string text; std::getline(in, text);) {
      LogLine line;
      if (ParseLogLine(text, line)) {
        lines.push_back(std::move(line));
      }
    }
  }
  auto events = CollectFlowEvents(lines, aArguments[0]);
  for (const LogLine& it : events) {
    std::printf("%s %s%s\n", it.mTime.c_str(), it.mFlow.empty() ? "  " : "* ",
                it.mText.c_str());
  }
  if (events.empty()) {
    return ReportStartError({ ErrorKind::NotFound,
                              "no log line of flow " + aArguments[0],
                              "give the logs of all balancers and agents of "
                              "that time, and the flow id as logged" });
  }
  return ExitCode::Ok;
}

struct Command
{
  std::string_view mName;
  std::string_view mSummary;
  ExitCode (*mRun)(Arguments);
  /** Flags that it accepts. */
  std::vector<std::string_view> mFlags;
};

const std::vector<Command>& AllCommands()
{
  static const std::vector<Command> kCommands{
    { "balancer",
      "runs a balancer",
      RunBalancer,
      { "settings", "fault_injection" } },
    { "agent",
      "runs the agent on the host of a backend server",
      RunAgent,
      { "settings", "fault_injection" } },
    { "flow-balancer",
      "runs a balancer of opaque flows",
      RunFlowBalancer,
      { "settings", "settings_env" } },
    { "flow-agent",
      "runs the agent of a host of opaque flows",
      RunFlowAgent,
      { "settings", "settings_env" } },
    { "check", "checks a configuration file", RunCheck, { "json" } },
    { "apply",
      "applies a configuration",
      RunApply,
      { "platform", "yes", "if_version", "json", "author" } },
    { "get",
      "prints the configuration in force",
      RunGet,
      { "platform", "json", "at_version" } },
    { "policy",
      "shows or sets the balancing policy",
      RunPolicy,
      { "platform", "yes", "if_version", "json", "author" } },
    { "status",
      "shows the configuration version at each process",
      RunStatus,
      { "platform", "json" } },
    { "report",
      "shows the results of each balancing policy",
      RunReport,
      { "platform", "json", "svg" } },
    { "drain",
      "drains a host, or ends its drain",
      RunDrain,
      { "platform", "yes", "undo", "if_version", "json", "author" } },
    { "explain",
      "prints the events of one flow from logs: explain FLOW LOG...",
      RunExplain,
      {} },
    { "replay",
      "replays recorded traces through the decision logic",
      RunReplayCommand,
      {} },
  };
  return kCommands;
}

void PrintOverview(std::FILE* aOut)
{
  std::fputs(
    "heatherplank, a layer-4 load balancer\n\n"
    "usage: heatherplank COMMAND [--flag=value ...] [ARGUMENT ...]\n\n",
    aOut);
  for (const auto& it : AllCommands()) {
    std::fprintf(aOut, "  %-14s %s\n", std::string(it.mName).c_str(),
                 std::string(it.mSummary).c_str());
  }
  std::fputs("\nheatherplank COMMAND --help shows its flags; "
             "heatherplank --version shows the release.\n",
             aOut);
}

void PrintHelp(const Command& aCommand)
{
  std::string name(aCommand.mName);
  std::printf("heatherplank %s: %s\n", name.c_str(),
              std::string(aCommand.mSummary).c_str());
  std::string usage(CommandUsage(aCommand.mName));
  if (!usage.empty()) {
    std::printf("\n%s\n", usage.c_str());
  }
  std::puts("\nflags:");
  for (const auto& it : aCommand.mFlags) {
    gflags::CommandLineFlagInfo info;
    std::string flag(it);
    if (gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) {
      std::printf("  --%-16s %s (%s)\n", flag.c_str(), info.description.c_str(),
                  info.type.c_str());
    }
  }
}

const Command* FindCommand(std::string_view aName)
{
  const auto& all = AllCommands();
  auto it = std::find_if(all.begin(), all.end(), [&](const Command& aIt) {
    return aIt.mName == aName;
  });
  return it == all.end() ? nullptr : &*it;
}

/** Returns the name of a flag ("yes" of "--yes=true"); "" if not a flag. */
std::string FlagName(std::string_view aArgument)
{
  if (!aArgument.starts_with("-") || aArgument.size() < 2) {
    return {};
  }
  aArgument.remove_prefix(aArgument.starts_with("--") ? 2 : 1);
  std::string name(aArgument.substr(0, aArgument.find('=')));
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

bool AcceptsFlag(const Command& aCommand, const std::string& aFlag)
{
  auto has = [&](std::string_view aName) {
    return std::find(aCommand.mFlags.begin(), aCommand.mFlags.end(), aName) !=
           aCommand.mFlags.end();
  };
  return has(aFlag) || (aFlag.starts_with("no") && has(aFlag.substr(2)));
}

ExitCode ReportUsageError(const std::string& aMessage,
                          const std::string& aRemedy)
{
  std::fprintf(stderr, "heatherplank: %s; %s\n", aMessage.c_str(),
               aRemedy.c_str());
  return ExitCode::Usage;
}

/** Sets the flags and collects the positional arguments. gflags' own parser
 * would exit the process on an unknown flag, with an exit code of its own. */
ExitCode Parse(const Command& aCommand, std::span<char*> aArguments,
               std::vector<std::string>& aPositional)
{
  std::string name(aCommand.mName);
  std::string help = "see heatherplank " + name + " --help";
  for (std::size_t i = 0; i < aArguments.size(); ++i) {
    std::string argument = aArguments[i];
    std::string flag = FlagName(argument);
    if (flag.empty()) {
      aPositional.push_back(argument);
      continue;
    }
    if (!AcceptsFlag(aCommand, flag)) {
      return ReportUsageError(name.append(" has no flag ").append(argument),
                              help);
    }
    auto equals = argument.find('=');
    std::string value;
    gflags::CommandLineFlagInfo info;
    if (flag.starts_with("no") &&
        !gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) {
      flag = flag.substr(2);
      value = "false";
    } else if (equals != std::string::npos) {
      value = argument.substr(equals + 1);
    } else if (gflags::GetCommandLineFlagInfo(flag.c_str(), &info) &&
               info.type == "bool") {
      value = "true";
    } else if (i + 1 < aArguments.size()) {
      value = aArguments[++i];
    } else {
      return ReportUsageError("flag " + argument + " has no value", help);
    }
    if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
      std::string message = "flag --";
      message.append(flag).append(" can't be \"").append(value).append("\"");
      return ReportUsageError(message, help);
    }
  }
  return ExitCode::Ok;
}

ExitCode RunCommandLine(std::span<char*> aArguments)
{
  std::string first = aArguments.size() > 1 ? aArguments[1] : "--help";
  if (first == "--version") {
    std::puts("heatherplank " HEATHERPLANK_VERSION);
    return ExitCode::Ok;
  }
  if (first == "--help" || first == "-h" || first == "help") {
    PrintOverview(aArguments.size() > 1 ? stdout : stderr);
    return aArguments.size() > 1 ? ExitCode::Ok : ExitCode::Usage;
  }
  const Command* command = FindCommand(first);
  if (command == nullptr) {
    return ReportUsageError("unknown command \"" + first + "\"",
                            "see heatherplank --help");
  }
  auto rest = aArguments.subspan(2);
  for (const char* it : rest) {
    if (std::string_view(it) == "--help" || std::string_view(it) == "-h") {
      PrintHelp(*command);
      return ExitCode::Ok;
    }
  }
  std::vector<std::string> positional;
  ExitCode parsed = Parse(*command, rest, positional);
  return parsed != ExitCode::Ok ? parsed : command->mRun(positional);
}

} // namespace

int RunCommandLine(int aCount, char** aArguments,
                   const PlatformAdapter& aAdapter)
{
  Adapter() = &aAdapter;
  std::span<char*> arguments(aArguments, static_cast<std::size_t>(aCount));
  return static_cast<int>(RunCommandLine(arguments));
}

} // namespace heatherplank
