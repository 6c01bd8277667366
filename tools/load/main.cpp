// Sends the open-loop load that a TOML profile describes to entry VMs, and prints a summary of the
// latencies and results.
#include "loadrun.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(profile, "", "TOML file that describes the load");
DEFINE_string(csv, "", "write one line per request to this CSV file");
DEFINE_bool(json, false, "print the summary as JSON");
DEFINE_bool(progress, true, "update a progress line on stderr every second; off with --json");

int main(int argc, char **argv)
{
    using namespace arbutuspier::load;
    gflags::SetUsageMessage("load --profile FILE: sends open-loop load to entry VMs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int kExitBadProfile = 2;
    const auto profile = loadProfile(FLAGS_profile);
    if (!profile) {
        std::cerr << profile.error().message << '\n';
        return kExitBadProfile;
    }
    LoadRun run(*profile, FLAGS_progress && !FLAGS_json);
    run.run();
    if (!FLAGS_csv.empty())
        run.writeCsv(FLAGS_csv);
    std::cout << (FLAGS_json ? run.summaryJson() : run.summaryTable());
    return 0;
}
