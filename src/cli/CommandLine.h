#pragma once

namespace heatherplank {

class PlatformAdapter;

/** Parses the command with its flags and arguments, and runs it. Processes of
 * the pass-through path access their platform through aAdapter. Returns the
 * exit code. Not thread safe; call once.
 */
int RunCommandLine(int aCount, char** aArguments,
                   const PlatformAdapter& aAdapter);

} // namespace heatherplank
