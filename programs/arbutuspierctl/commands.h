// The tool's commands, what they print and their exit codes.
#pragma once

#include "client.h"

#include <string>
#include <vector>

namespace arbutuspier::ctl {

inline constexpr int kExitDone = 0;
/// The VM refused or could not do what was asked.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
/// The VM can't be reached.
inline constexpr int kExitUnreachable = 3;
/// An edit lost against another operator's.
inline constexpr int kExitConflict = 4;
/// An edit's outcome is not known, or not all VMs have it in force yet.
inline constexpr int kExitUnknown = 5;

struct Options
{
    bool isJson = false;
    bool isWaiting = false;
    unsigned waitSeconds = 0;
    std::string editor;
};

/// Text for --help.
std::string usageText();
std::string environment(const char *name, const char *fallback);
/// Runs one command; returns the exit code.
int runCommand(Client &client, const Options &options, const std::vector<std::string> &words);

} // namespace arbutuspier::ctl
