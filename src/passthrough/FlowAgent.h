#pragma once

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
  /** Opens every port; System with the remedy if one can't be had. aAdapter
   * must outlive it. */
  static Result<std::unique_ptr<FlowAgent>> Make(
    const FlowAgentSettings& aSettings, const PlatformAdapter& aAdapter);

  ~FlowAgent();

  /** Runs until a planned stop has ended. */
  void Run();

private:
  struct Impl;
  explicit FlowAgent(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
