#pragma once

#include <functional>
#include <memory>

#include "include/heatherplank/Error.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PlatformAdapter.h"

namespace heatherplank {

/** The agent process beside a host of opaque flows. Owns the sockets and timers
 * and connects them to HostFlows and AgentMembership, which make the decisions.
 * Runs on a single thread.
 */
class FlowAgent
{
public:
  /** Reloads the settings. */
  using ReloadSettings = std::function<Result<FlowAgentSettings>()>;

  /** Opens every port; returns ErrorKind::System with a remedy if one can't be
   * opened. aAdapter must outlive the agent. aReloadSettings is called when the
   * settings may have changed. */
  static Result<std::unique_ptr<FlowAgent>> Make(
    const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
    ReloadSettings aReloadSettings);

  ~FlowAgent();

  /** Runs until a graceful stop completes. */
  void Run();

private:
  struct Impl;
  explicit FlowAgent(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
