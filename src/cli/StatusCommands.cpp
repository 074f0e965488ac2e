#include "src/cli/Commands.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/cli/CommandContext.h"
#include "src/cli/Flags.h"
#include "src/status/ReportPlot.h"
#include "src/status/StatusReader.h"
#include "src/status/StatusView.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

struct StatusInput
{
  StoredConfiguration mNewest;
  StatusObject mStatus;
};

Result<StatusInput> ReadStatusInput()
{
  auto context = CommandContext::Make();
  if (!context) {
    return tl::unexpected(context.error());
  }
  auto newest = (*context)->ReadNewest();
  if (!newest) {
    return tl::unexpected(newest.error());
  }
  auto status = ReadStatusObjects((*context)->Platform());
  if (!status) {
    return tl::unexpected(status.error());
  }
  return StatusInput{ std::move(*newest), std::move(*status) };
}

} // namespace

ExitCode RunStatus(std::span<const std::string> aArgs)
{
  if (!aArgs.empty()) {
    std::cerr << "usage: " << CommandUsage("status") << "\n";
    return ExitCode::Usage;
  }
  auto input = ReadStatusInput();
  if (!input) {
    return ReportError("status", input.error());
  }
  StatusView view =
    MakeStatusView(input->mNewest.mHead, input->mStatus, NowMs());
  std::cout << (FLAGS_json ? json::serialize(ToJson(view)) + "\n"
                           : ToTable(view));
  return view.IsLagging() ? ExitCode::Lagging : ExitCode::Ok;
}

ExitCode RunReport(std::span<const std::string> aArgs)
{
  if (!aArgs.empty()) {
    std::cerr << "usage: " << CommandUsage("report") << "\n";
    return ExitCode::Usage;
  }
  auto input = ReadStatusInput();
  if (!input) {
    return ReportError("report", input.error());
  }
  const PolicyChoice& policy = input->mNewest.mConfiguration->mPolicy;
  std::cout << (FLAGS_json
                  ? json::serialize(ReportToJson(input->mStatus, policy)) + "\n"
                  : ReportToTable(input->mStatus, policy));
  if (FLAGS_svg.empty()) {
    return ExitCode::Ok;
  }
  std::ofstream file(FLAGS_svg);
  file << DrawReport(input->mStatus.mFigures, policy);
  if (!file.flush()) {
    return ReportError("report", { ErrorKind::InvalidInput,
                                   FLAGS_svg + ": can't be written",
                                   "give a path that this user may write" });
  }
  return ExitCode::Ok;
}

} // namespace heatherplank
