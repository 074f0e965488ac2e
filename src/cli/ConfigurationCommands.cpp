#include "src/cli/Commands.h"

#include <iostream>
#include <optional>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/cli/CommandContext.h"
#include "src/cli/Flags.h"
#include "src/config/ConfigurationEdit.h"
#include "src/config/ConfigurationMerge.h"
#include "src/config/ConfigurationParser.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

ExitCode UsageError(const char* aCommand)
{
  std::cerr << "heatherplank " << aCommand
            << ": wrong arguments; usage: " << CommandUsage(aCommand) << "\n";
  return ExitCode::Usage;
}

Result<ConfigurationPtr> ReadConfigurationFile(const std::string& aFile)
{
  auto text = ReadFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseConfiguration(*text, 0, aFile);
}

std::optional<std::uint64_t> IfVersionFlag()
{
  return FLAGS_if_version < 0
           ? std::nullopt
           : std::optional(static_cast<std::uint64_t>(FLAGS_if_version));
}

/** Merges the change into the newest version, to show its effect. A conflict
 * with a newer version is reported here, before the commit. */
Result<ConfigurationPtr> Preview(const ConfigurationPtr& aBase,
                                 const ConfigurationPtr& aDesired,
                                 const ConfigurationPtr& aNewest)
{
  if (!aNewest || !aBase || aBase->mVersion == aNewest->mVersion) {
    return aDesired;
  }
  return MergeConfigurations(*aBase, *aDesired, *aNewest);
}

ExitCode Apply(CommandContext& aContext, const char* aCommand,
               ConfigurationPtr aBase, ConfigurationPtr aDesired,
               const std::optional<StoredConfiguration>& aNewest)
{
  auto newest = aNewest ? aNewest->mConfiguration : nullptr;
  auto preview = Preview(aBase, aDesired, newest);
  if (!preview) {
    Error error = preview.error();
    error.mMessage = "not applied: " + DescribeHead(aNewest->mHead) +
                     ", is in force now; " + error.mMessage;
    return ReportError(aCommand, error);
  }
  auto lines =
    DescribeDifference(newest ? *newest : Configuration(), **preview);
  if (!lines.empty() && !Confirm(lines)) {
    std::cout << "Not applied.\n";
    return ExitCode::Declined;
  }
  return CommitAndReport(
    aContext, aCommand,
    { std::move(aBase), std::move(aDesired), GetAuthor(), IfVersionFlag() });
}

/** Applies an edit of the newest version. */
template<typename Edit>
ExitCode ApplyEdit(const char* aCommand, Edit aEdit)
{
  auto context = CommandContext::Make();
  if (!context) {
    return ReportError(aCommand, context.error());
  }
  auto newest = (*context)->ReadNewest();
  if (!newest) {
    return ReportError(aCommand, newest.error());
  }
  Result<ConfigurationPtr> desired = aEdit(*newest->mConfiguration);
  if (!desired) {
    return ReportError(aCommand, desired.error());
  }
  ConfigurationPtr base = newest->mConfiguration;
  return Apply(**context, aCommand, base, *desired, std::move(*newest));
}

ExitCode ShowPolicy()
{
  auto context = CommandContext::Make();
  if (!context) {
    return ReportError("policy", context.error());
  }
  auto newest = (*context)->ReadNewest();
  if (!newest) {
    return ReportError("policy", newest.error());
  }
  const PolicyChoice& policy = newest->mConfiguration->mPolicy;
  json::object out;
  out["policy"] = policy.mName;
  out["version"] = newest->mHead.mVersion;
  std::cout << (FLAGS_json ? json::serialize(out) + "\n"
                           : policy.mName + ", in " +
                               DescribeHead(newest->mHead) + "\n");
  return ExitCode::Ok;
}

} // namespace

std::string_view CommandUsage(std::string_view aCommand)
{
  static constexpr std::pair<std::string_view, std::string_view> kUsages[] = {
    { "check", "heatherplank check FILE [--json]" },
    { "apply", "heatherplank apply FILE --platform IP:PORT [--yes] "
               "[--if_version N] [--author NAME] [--json]" },
    { "get", "heatherplank get --platform IP:PORT [--at_version N]" },
    { "policy", "heatherplank policy [set NAME] --platform IP:PORT [--yes] "
                "[--if_version N] [--json]" },
    { "drain", "heatherplank drain HOST --platform IP:PORT [--undo] [--yes] "
               "[--json]" },
    { "status", "heatherplank status --platform IP:PORT [--json]" },
    { "report", "heatherplank report --platform IP:PORT [--json]" },
  };
  for (const auto& [name, usage] : kUsages) {
    if (name == aCommand) {
      return usage;
    }
  }
  return {};
}

ExitCode RunCheck(std::span<const std::string> aArgs)
{
  if (aArgs.size() != 1) {
    return UsageError("check");
  }
  auto text = ReadFile(aArgs[0]);
  if (!text) {
    return ReportError("check", text.error());
  }
  JsonFaults faults(aArgs[0]);
  auto config = ParseConfiguration(*text, 0, faults);
  if (FLAGS_json) {
    json::array list;
    for (const auto& it : faults.All()) {
      list.push_back({ { "path", it.mPath },
                       { "found", it.mFound },
                       { "remedy", it.mRemedy } });
    }
    json::object out;
    out["ok"] = config != nullptr;
    out["faults"] = std::move(list);
    std::cout << json::serialize(out) << "\n";
  } else if (!config) {
    std::cerr << faults.Describe() << "\n";
  } else {
    std::cout << aArgs[0] << ": " << config->mServices.size()
              << " services, no fault\n";
  }
  return config ? ExitCode::Ok : ExitCode::Usage;
}

ExitCode RunApply(std::span<const std::string> aArgs)
{
  if (aArgs.size() != 1) {
    return UsageError("apply");
  }
  auto desired = ReadConfigurationFile(aArgs[0]);
  if (!desired) {
    return ReportError("apply", desired.error());
  }
  auto context = CommandContext::Make();
  if (!context) {
    return ReportError("apply", context.error());
  }
  auto newest = (*context)->Configurations().Read();
  if (!newest) {
    return ReportError("apply", newest.error());
  }
  auto base = (*context)->Configurations().FindBase(
    (*desired)->mVersion, *newest ? (*newest)->mConfiguration : nullptr);
  if (!base) {
    return ReportError("apply", base.error());
  }
  return Apply(**context, "apply", *base, *desired, *newest);
}

ExitCode RunGet(std::span<const std::string> aArgs)
{
  if (!aArgs.empty()) {
    return UsageError("get");
  }
  auto context = CommandContext::Make();
  if (!context) {
    return ReportError("get", context.error());
  }
  ConfigurationPtr config;
  if (FLAGS_at_version > 0) {
    auto old = (*context)->Configurations().ReadVersion(
      static_cast<std::uint64_t>(FLAGS_at_version));
    if (old) {
      config = *old;
    } else if (old.error().mKind != ErrorKind::NotFound) {
      return ReportError("get", old.error());
    }
  }
  if (!config) {
    auto newest = (*context)->ReadNewest();
    if (!newest) {
      return ReportError("get", newest.error());
    }
    config = newest->mConfiguration;
    if (FLAGS_at_version > 0 &&
        config->mVersion != static_cast<std::uint64_t>(FLAGS_at_version)) {
      return ReportError(
        "get", { ErrorKind::NotFound, "that version is no longer stored",
                 "the newest version is " + std::to_string(config->mVersion) });
    }
  }
  json::value value = ToJson(*config);
  std::cout << (FLAGS_json ? json::serialize(value) + "\n"
                           : ToPrettyText(value));
  return ExitCode::Ok;
}

ExitCode RunPolicy(std::span<const std::string> aArgs)
{
  if (aArgs.empty()) {
    return ShowPolicy();
  }
  if (aArgs.size() != 2 || aArgs[0] != "set") {
    return UsageError("policy");
  }
  return ApplyEdit("policy", [&](const Configuration& aNewest) {
    return WithPolicy(aNewest, aArgs[1]);
  });
}

ExitCode RunDrain(std::span<const std::string> aArgs)
{
  if (aArgs.size() != 1) {
    return UsageError("drain");
  }
  return ApplyEdit("drain", [&](const Configuration& aNewest) {
    return WithDrain(aNewest, aArgs[0], !FLAGS_undo);
  });
}

} // namespace heatherplank
