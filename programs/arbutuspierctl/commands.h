// The commands of arbutuspierctl and their exit codes.
#pragma once

#include "client.h"

#include <string>
#include <vector>

namespace arbutuspier::ctl {

inline constexpr int kExitSuccess = 0;
/// The VM rejected the command, or the command failed.
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
/// The VM sent no response.
inline constexpr int kExitUnreachable = 3;
/// An edit was not accepted because another operator's edit came first.
inline constexpr int kExitConflict = 4;
/// The outcome of an edit is not known, or the edit isn't active on all reachable VMs yet.
inline constexpr int kExitUnknown = 5;

struct Options
{
    /// Print JSON instead of tables.
    bool isJson = false;
    /// After an accepted edit, wait until it is active on all reachable VMs.
    bool waitsUntilActive = false;
    unsigned waitSeconds = 0;
    /// The operator's name, recorded with each edit of the limits.
    std::string editor;
};

/// Text for --help.
std::string usageText();
/// The value of an environment variable; `fallback` if it is unset or empty.
std::string environmentVariable(const char *name, const char *fallback);
/// Runs one command; returns the exit code.
int runCommand(Client &client, const Options &options, const std::vector<std::string> &arguments);

} // namespace arbutuspier::ctl
