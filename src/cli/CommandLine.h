#pragma once

namespace heatherplank {

class PlatformAdapter;

/** Runs the binary: finds the command, checks its flags and words, runs it.
 * Processes of the pass-through path reach their platform by aAdapter. Gives
 * the exit code. Not thread safe; call once.
 */
int RunCommandLine(int aCount, char** aArguments,
                   const PlatformAdapter& aAdapter);

} // namespace heatherplank
