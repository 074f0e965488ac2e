#pragma once

#include <functional>
#include <memory>

#include "include/heatherplank/Error.h"
#include "src/passthrough/PassthroughSettings.h"
#include "src/passthrough/PlatformAdapter.h"

namespace heatherplank {

/** The agent process beside a host of opaque flows: its sockets, timers and
 * parts, and how they are joined. Everything runs on one thread. Decisions are
 * made elsewhere: HostFlows, AgentMembership.
 */
class FlowAgent
{
public:
  /** Reads the settings again. */
  using Reread = std::function<Result<FlowAgentSettings>()>;

  /** Opens every port; System with the remedy if one can't be had. aAdapter
   * must outlive it. aReread is called when the settings may have changed. */
  static Result<std::unique_ptr<FlowAgent>> Make(
    const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter,
    Reread aReread);

  ~FlowAgent();

  /** Runs until a planned stop has ended. */
  void Run();

private:
  struct Impl;
  explicit FlowAgent(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
